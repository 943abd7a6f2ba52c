package org.mulberrypin.command

import com.linecorp.armeria.client.ClientFactory
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.SETTINGS_VARIABLE
import org.mulberrypin.platform.deployment.readDeploymentSettings
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.service.deployment.startDeploymentInstance
import sun.misc.Signal
import java.nio.file.Path

internal val entryCommand: Command =
    command(
        "entry",
        "Runs an entry instance with the settings that the platform places beside it.",
        ::EntryOptions,
        ::runEntry,
    )

private fun runEntry(
    options: EntryOptions,
    console: Console,
): ExitCode {
    val file = options.file.ifEmpty { System.getenv(SETTINGS_VARIABLE) }
    if (file == null) {
        console.complain("expected a settings file in --settings or in the variable $SETTINGS_VARIABLE")
        return ExitCode.WRONG_USAGE
    }
    return when (val settings = readDeploymentSettings(Path.of(file))) {
        is Outcome.Failure -> {
            console.complain(settings.fault.toString())
            ExitCode.WRONG_USAGE
        }

        is Outcome.Success -> {
            run(Path.of(file), settings.value, options, console)
        }
    }
}

private fun run(
    file: Path,
    settings: DeploymentSettings,
    options: EntryOptions,
    console: Console,
): ExitCode {
    // A shutdown still writes to the store, which the library's own hook would prevent.
    ClientFactory.disableShutdownHook()
    val instance = try {
        startDeploymentInstance(settings, options.metricsPort, systemClock())
    } catch (failure: RuntimeException) {
        // Without this, the threads that did start would keep a process alive that never serves or drains.
        console.complain("${settings.instance}: start failed: $failure")
        return ExitCode.FAILED
    }
    // Without a handler, the virtual machine ends at this signal.
    Signal.handle(Signal("HUP")) { instance.reload(readDeploymentSettings(file)) }
    if (options.runMilliseconds == 0L) return runUntilTold(instance.drainAndStop)
    Thread.sleep(options.runMilliseconds)
    instance.drainAndStop()
    return ExitCode.GOOD
}
