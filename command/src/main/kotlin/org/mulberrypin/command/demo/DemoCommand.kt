/** The command that shows the whole service at work on embedded stand-ins and ends by itself. */
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
    command("demo", "Shows the whole service at work on embedded stand-ins, then ends.", ::DemoOptions) { _, console ->
        ClientFactory.disableShutdownHook()
        console.answer("Starting a platform, engines, a plain service and three entry instances.")
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
        answer.faults.forEach(console.complain)
        return ExitCode.FAILED
    }
    console.answer("Configuration ${answer.currentVersion} is accepted. Callers and a trainer are at work.")
    val load = runDemoLoad(network, CALLER_KEY, TRAINER_KEY)
    console.answer("Callers and trainer have ended. Waiting for the usage reports, then shutting down.")
    Thread.sleep(REPORT_MILLISECONDS)
    val summary = demoSummary(network, load)
    stopDemoNetwork(network)
    summary.lines.forEach(console.answer)
    return if (summary.isGood) ExitCode.GOOD else ExitCode.FAILED
}

/** Keys of a network that exists only in this process. */
private const val OPERATOR_KEY = "demo-operator"
private const val CALLER_KEY = "demo-caller"
private const val TRAINER_KEY = "demo-trainer"

/** Time in which the last windows of usage end, settle and are reported, in milliseconds. */
private const val REPORT_MILLISECONDS = 10_000L
