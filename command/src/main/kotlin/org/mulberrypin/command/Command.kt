package org.mulberrypin.command

import org.kohsuke.args4j.CmdLineParser

/**
 * A command of the program.
 *
 * @property words the words of the command name, such as "configuration" and "show"
 * @property summary one sentence for the list of commands
 * @property createParser creates a parser with a new options object; used to print the options
 * @property parse parses the arguments after the command name and returns the action to run; throws CmdLineException
 */
public data class Command(
    val words: List<String>,
    val summary: String,
    val createParser: () -> CmdLineParser,
    val parse: (arguments: List<String>) -> CommandAction,
)

/** Runs a command whose options have been parsed. */
public typealias CommandAction = (Console) -> ExitCode

/**
 * Creates a command that calls [run] with a new object from [createOptions]; args4j has set its annotated properties
 * from the arguments.
 */
internal fun <Options : CommandOptions> command(
    words: String,
    summary: String,
    createOptions: () -> Options,
    run: (Options, Console) -> ExitCode,
): Command =
    Command(
        words = words.split(' '),
        summary = summary,
        createParser = { CmdLineParser(createOptions()) },
        parse = { arguments ->
            val parsedOptions = createOptions()
            CmdLineParser(parsedOptions).parseArgument(arguments)
            val action: CommandAction = { console -> run(parsedOptions, console) }
            action
        },
    )
