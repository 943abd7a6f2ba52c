/** Starts the engine stand-in: one duty that owns its state, and an HTTP server that a crash stops. */
package org.mulberrypin.standins.engine

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.standins.StandInDuty
import org.mulberrypin.standins.StandInWork
import org.mulberrypin.standins.faults.addFaultRoutes
import org.mulberrypin.standins.received.ReceivedLog
import org.mulberrypin.standins.received.add
import org.mulberrypin.standins.received.addReceivedRoute
import org.mulberrypin.standins.received.find
import org.mulberrypin.standins.startStandInDuty
import org.mulberrypin.standins.startStandInServer
import java.util.concurrent.atomic.AtomicReference

/** Starts an engine that answers with the text of [org.mulberrypin.standins.text.generatedAnswer]. */
public fun startEngineStandIn(
    options: EngineStandInOptions = EngineStandInOptions(),
    clock: ServiceClock = systemClock(),
): EngineStandIn {
    val received = AtomicReference(ReceivedLog())
    lateinit var duty: StandInDuty<EngineOperation>
    lateinit var port: EnginePort
    val process = EngineProcess(
        options = options,
        clock = clock,
        enqueue = { action -> duty.post(action) },
        setListening = { open -> if (open) port.open() else port.close() },
    )
    duty = startEngineDuty(process, options, clock, received)
    port = EnginePort(options.port) { number ->
        startStandInServer(number) { builder -> addRoutes(builder, options, duty, received) }
    }
    return EngineStandIn(
        address = port.address,
        faults = duty.faults,
        received = { text -> received.get().find(text) },
        load = process::load,
        crashes = process.crashes::get,
        crash = { duty.await(process::crash) },
        stop = {
            duty.stop()
            port.close()
        },
    )
}

private fun startEngineDuty(
    process: EngineProcess,
    options: EngineStandInOptions,
    clock: ServiceClock,
    received: AtomicReference<ReceivedLog>,
): StandInDuty<EngineOperation> {
    val work = StandInWork(
        run = process::run,
        onReceived = { request -> received.set(received.get().add(request, options.receivedLimit)) },
        onFaultsChanged = process::changeFaults,
        tick = process::tick,
    )
    return startStandInDuty("engine-stand-in", clock, options.tokenMilliseconds, work)
}

private fun addRoutes(
    builder: ServerBuilder,
    options: EngineStandInOptions,
    duty: StandInDuty<EngineOperation>,
    received: AtomicReference<ReceivedLog>,
) {
    addEngineRoutes(builder, options.model, duty.submit)
    addFaultRoutes(builder) { duty.faults }
    addReceivedRoute(builder, received::get)
}
