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
        "Runs an entry instance until the process is signalled to stop.",
        ::ServeOptions,
        ::serve,
    )

private fun serve(
    options: ServeOptions,
    console: Console,
): ExitCode =
    when (val settings = readEntrySettings(Path.of(options.file))) {
        is SettingsOutcome.Invalid -> reportSettingsErrors(settings, console)
        is SettingsOutcome.Valid -> serveWith(settings.settings, console)
    }

private fun serveWith(
    settings: EntrySettings,
    console: Console,
): ExitCode {
    applyLogSettings(settings.logs)
    // Armeria's shutdown hook would close its clients, which a graceful shutdown still needs to call backend servers
    // and the platform.
    ClientFactory.disableShutdownHook()
    return when (val outcome = startEntryInstance(settings, httpPlatform(settings.platform))) {
        is Outcome.Failure -> {
            console.printError(outcome.fault.toString())
            ExitCode.FAILED
        }

        is Outcome.Success -> {
            console.printLine("${settings.instance.name}: ready at ${outcome.value.address}")
            runUntilShutdown(outcome.value.drainAndStop)
        }
    }
}

/** Blocks until the JVM shuts down, for example after SIGTERM, and [shutDown] has returned in a shutdown hook. */
internal fun runUntilShutdown(shutDown: () -> Unit): ExitCode {
    val shutdownComplete = CountDownLatch(1)
    val hook =
        Thread({
            shutDown()
            shutdownComplete.countDown()
        }, "shutdown")
    Runtime.getRuntime().addShutdownHook(hook)
    shutdownComplete.await()
    return ExitCode.SUCCESS
}
