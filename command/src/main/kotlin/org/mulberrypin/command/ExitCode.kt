package org.mulberrypin.command

/**
 * How a command ended.
 *
 * @property code the exit code of the process
 */
public enum class ExitCode(
    public val code: Int,
) {
    /** The command did what it was asked. */
    GOOD(0),

    /** The command was understood but could not be carried out. */
    FAILED(1),

    /** The command line or a settings file is wrong; nothing was started. */
    WRONG_USAGE(2),
}
