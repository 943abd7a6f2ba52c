package org.mulberrypin.command

import org.mulberrypin.schema.generated.Explanation
import java.time.Instant

internal val explainCommand: Command =
    command("explain", "Prints the recorded reasons for decisions.", ::ExplainOptions) { options, console ->
        withOperatorClient(options, console) { client ->
            reportOutcome(client.explain(options.subject, options.name), console) { answer ->
                answer.explanations.map(::explanationLine).forEach(console.printLine)
                if (answer.explanations.isEmpty()) console.printError("Nothing is recorded.")
                if (answer.explanations.isEmpty()) ExitCode.FAILED else ExitCode.SUCCESS
            }
        }
    }

private fun explanationLine(explanation: Explanation): String =
    listOf(
        Instant.ofEpochMilli(explanation.wallMilliseconds).toString(),
        explanation.instance,
        explanation.step,
        explanation.peer,
        explanation.reason,
    ).filter(String::isNotEmpty).joinToString("  ")
