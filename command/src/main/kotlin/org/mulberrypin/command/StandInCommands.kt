/** The commands that run each stand-in as a separate process, for development and tests. */
package org.mulberrypin.command

import org.mulberrypin.standins.engine.EngineStandInOptions
import org.mulberrypin.standins.engine.startEngineStandIn
import org.mulberrypin.standins.plainservice.PlainServiceStandInOptions
import org.mulberrypin.standins.plainservice.startPlainServiceStandIn
import org.mulberrypin.standins.platform.PlatformStandInOptions
import org.mulberrypin.standins.platform.startPlatformStandIn

internal val standInPlatformCommand: Command =
    command("stand-in platform", "Runs an in-memory stand-in of the platform.", ::StandInOptions) { options, console ->
        val standIn = startPlatformStandIn(PlatformStandInOptions(port = options.port))
        console.printLine("platform: ready at ${standIn.address}")
        runUntilShutdown(standIn.stop)
    }

internal val standInEngineCommand: Command =
    command("stand-in engine", "Runs a stand-in of a model engine.", ::EngineOptions) { options, console ->
        val standIn = startEngineStandIn(engineStandInOptions(options))
        console.printLine("engine: ready at ${standIn.address}")
        runUntilShutdown(standIn.stop)
    }

internal val standInServiceCommand: Command =
    command("stand-in service", "Runs a stand-in of a plain service.", ::StandInOptions) { options, console ->
        val standIn = startPlainServiceStandIn(PlainServiceStandInOptions(port = options.port))
        console.printLine("service: ready at ${standIn.address}")
        runUntilShutdown(standIn.stop)
    }

private fun engineStandInOptions(options: EngineOptions): EngineStandInOptions =
    EngineStandInOptions(
        port = options.port,
        model = options.model,
        slots = options.slots,
        tokenMilliseconds = options.tokenMilliseconds,
        poisonText = options.poison,
        restartMilliseconds = options.restartMilliseconds,
    )
