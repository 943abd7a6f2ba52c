package org.mulberrypin.command

/**
 * The result of a command.
 *
 * @property code the exit code of the process
 */
public enum class ExitCode(
    public val code: Int,
) {
    /** The command succeeded. */
    SUCCESS(0),

    /** The command line was valid, but the command failed. */
    FAILED(1),

    /** The command line or a settings file is invalid; nothing was run. */
    USAGE_ERROR(2),
}
