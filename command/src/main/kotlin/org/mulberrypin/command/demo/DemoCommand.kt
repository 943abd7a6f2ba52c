/** The command that runs the whole service against embedded stand-ins, prints a summary and exits. */
package org.mulberrypin.command.demo

import com.linecorp.armeria.client.ClientFactory
import org.mulberrypin.command.Command
import org.mulberrypin.command.Console
import org.mulberrypin.command.ExitCode
import org.mulberrypin.command.command
import org.mulberrypin.command.operatorClient
import org.mulberrypin.command.reportOutcome
import org.mulberrypin.command.sha256
import org.mulberrypin.schema.generated.PatchAnswer

internal val demoCommand: Command =
    command("demo", "Runs the whole service against embedded stand-ins.", ::DemoOptions) { _, console ->
        ClientFactory.disableShutdownHook()
        console.printLine("Starting stand-ins of the platform, engines and a plain service, and three entry instances.")
        reportOutcome(startDemoNetwork(sha256(OPERATOR_KEY)), console) { network ->
            runDemo(network, console)
        }
    }

private fun runDemo(
    network: DemoNetwork,
    console: Console,
): ExitCode {
    val operator = operatorClient(network.instances.first().address, OPERATOR_KEY)
    val patch = demoPatch(network, sha256(CALLER_KEY), sha256(TRAINER_KEY))
    return reportOutcome(operator.patch(patch), console) { answer -> runConfigured(network, answer, console) }
}

private fun runConfigured(
    network: DemoNetwork,
    answer: PatchAnswer,
    console: Console,
): ExitCode {
    if (!answer.accepted) {
        answer.faults.forEach(console.printError)
        return ExitCode.FAILED
    }
    console.printLine("Configuration version ${answer.currentVersion} accepted. Running callers and a trainer.")
    val load = runDemoLoad(network, CALLER_KEY, TRAINER_KEY)
    console.printLine("Callers and trainer have finished. Waiting for the usage reports before shutting down.")
    Thread.sleep(USAGE_REPORT_MILLISECONDS)
    val summary = demoSummary(network, load)
    stopDemoNetwork(network)
    summary.lines.forEach(console.printLine)
    return if (summary.isSuccessful) ExitCode.SUCCESS else ExitCode.FAILED
}

// The keys may be constants because the network exists only in this process.
private const val OPERATOR_KEY = "demo-operator"
private const val CALLER_KEY = "demo-caller"
private const val TRAINER_KEY = "demo-trainer"

/** Time until the last usage windows have ended, been frozen and been reported, in milliseconds. */
private const val USAGE_REPORT_MILLISECONDS = 10_000L
