package org.mulberrypin.command

import com.linecorp.armeria.client.ClientFactory
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.SETTINGS_PATH_VARIABLE
import org.mulberrypin.platform.deployment.readDeploymentSettings
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.service.deployment.startDeploymentInstance
import sun.misc.Signal
import java.nio.file.Path

internal val entryCommand: Command =
    command(
        "entry",
        "Runs an entry instance with the settings file that the platform provides.",
        ::EntryOptions,
        ::runEntry,
    )

private fun runEntry(
    options: EntryOptions,
    console: Console,
): ExitCode {
    val file = options.file.ifEmpty { System.getenv(SETTINGS_PATH_VARIABLE) }
    if (file == null) {
        console.printError(
            "entry: found no settings file, expected --settings or the environment variable $SETTINGS_PATH_VARIABLE",
        )
        return ExitCode.USAGE_ERROR
    }
    return when (val settings = readDeploymentSettings(Path.of(file))) {
        is Outcome.Failure -> {
            console.printError(settings.fault.toString())
            ExitCode.USAGE_ERROR
        }

        is Outcome.Success -> {
            runInstance(Path.of(file), settings.value, options, console)
        }
    }
}

private fun runInstance(
    file: Path,
    settings: DeploymentSettings,
    options: EntryOptions,
    console: Console,
): ExitCode {
    // Armeria's shutdown hook would close its clients before the graceful shutdown has written to the store.
    ClientFactory.disableShutdownHook()
    val instance = try {
        startDeploymentInstance(settings, options.metricsPort, systemClock(), options.engineOrders)
    } catch (failure: RuntimeException) {
        // Return an exit code: after an exception, threads that were already started would keep the process alive
        // although it does not serve requests.
        console.printError("${settings.instance}: start failed: $failure")
        return ExitCode.FAILED
    }
    // The platform sends SIGHUP after a change of the settings file; without a handler, the signal terminates the JVM.
    Signal.handle(Signal("HUP")) { instance.logReloadedSettings(readDeploymentSettings(file)) }
    if (options.runMilliseconds == 0L) return runUntilShutdown(instance.drainAndStop)
    Thread.sleep(options.runMilliseconds)
    instance.drainAndStop()
    return ExitCode.SUCCESS
}
