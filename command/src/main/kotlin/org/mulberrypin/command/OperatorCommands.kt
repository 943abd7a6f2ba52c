/**
 * What the commands for operators share: reading the operator key, calling an instance, and reporting failures.
 */
package org.mulberrypin.command

import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.settings.isAddress
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Calls the instance that [options] name, or complains about the options. */
internal fun withOperatorClient(
    options: OperatorOptions,
    console: Console,
    use: (OperatorClient) -> ExitCode,
): ExitCode {
    val key = readOperatorKey(Path.of(options.keyFile))
    return when {
        !isAddress(options.address) -> {
            refuseUsage(console, "--address: found \"${options.address}\", expected host:port")
        }

        key.isEmpty() -> {
            refuseUsage(console, "--operator-key-file: found no key in ${options.keyFile}, expected a key on one line")
        }

        else -> {
            use(operatorClient(options.address, key))
        }
    }
}

private fun readOperatorKey(file: Path): String =
    try {
        Files.readString(file).trim()
    } catch (_: IOException) {
        ""
    }

/** Hands the value of [outcome] to [use], or reports its fault. */
internal fun <Value> reportOutcome(
    outcome: Outcome<Value>,
    console: Console,
    use: (Value) -> ExitCode,
): ExitCode =
    when (outcome) {
        is Outcome.Success -> {
            use(outcome.value)
        }

        is Outcome.Failure -> {
            console.complain("$PROGRAM: ${outcome.fault}")
            if (outcome.fault.kind == FaultKind.UNKNOWN) console.complain("The step may have taken effect.")
            ExitCode.FAILED
        }
    }

internal fun refuseUsage(
    console: Console,
    complaint: String,
): ExitCode {
    console.complain("$PROGRAM: $complaint")
    return ExitCode.WRONG_USAGE
}
