/** Shared code of the operator commands: reads the operator key, calls an instance and reports failures. */
package org.mulberrypin.command

import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.settings.isAddress
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Runs [use] with a client of the instance that [options] specify, or reports invalid options. */
internal fun withOperatorClient(
    options: OperatorOptions,
    console: Console,
    use: (OperatorClient) -> ExitCode,
): ExitCode {
    val key = readOperatorKey(Path.of(options.keyFile))
    return when {
        !isAddress(options.address) -> {
            reportUsageError(console, "--address: found \"${options.address}\", expected host:port")
        }

        key.isEmpty() -> {
            reportUsageError(console, "--operator-key-file: found no key in ${options.keyFile}, expected one line")
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

/** Passes the value of [outcome] to [use], or reports its fault and whether the operation may have taken effect. */
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
            console.printError("$PROGRAM: ${outcome.fault}")
            if (outcome.fault.kind == FaultKind.UNKNOWN) console.printError("The step may have taken effect.")
            ExitCode.FAILED
        }
    }

/** Reports [message] as a usage error. */
internal fun reportUsageError(
    console: Console,
    message: String,
): ExitCode {
    console.printError("$PROGRAM: $message")
    return ExitCode.USAGE_ERROR
}
