package org.mulberrypin.command

import com.linecorp.armeria.client.ClientFactory
import org.mulberrypin.platform.httpPlatform
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.logs.applyLogSettings
import org.mulberrypin.runtime.settings.SettingsOutcome
import org.mulberrypin.runtime.settings.readEntrySettings
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.service.startEntryInstance
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

internal val serveCommand: Command =
    command(
        "serve",
        "Runs an entry instance until it is told to stop.",
        ::ServeOptions,
        ::serve,
    )

private fun serve(
    options: ServeOptions,
    console: Console,
): ExitCode =
    when (val settings = readEntrySettings(Path.of(options.file))) {
        is SettingsOutcome.Faulty -> reportFaults(settings, console)
        is SettingsOutcome.Valid -> serveWith(settings.settings, console)
    }

private fun serveWith(
    settings: EntrySettings,
    console: Console,
): ExitCode {
    applyLogSettings(settings.logs)
    // A graceful shutdown still calls backend servers and the platform, which the library's own hook would prevent.
    ClientFactory.disableShutdownHook()
    return when (val outcome = startEntryInstance(settings, httpPlatform(settings.platform))) {
        is Outcome.Failure -> {
            console.complain(outcome.fault.toString())
            ExitCode.FAILED
        }

        is Outcome.Success -> {
            console.answer("${settings.instance.name}: ready at ${outcome.value.address}")
            runUntilTold(outcome.value.drainAndStop)
        }
    }
}

/** Waits until the process is told to end, then runs [end] before it does. */
internal fun runUntilTold(end: () -> Unit): ExitCode {
    val ended = CountDownLatch(1)
    val hook =
        Thread({
            end()
            ended.countDown()
        }, "shutdown")
    Runtime.getRuntime().addShutdownHook(hook)
    ended.await()
    return ExitCode.GOOD
}
