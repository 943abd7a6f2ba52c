package org.mulberrypin.command

import org.kohsuke.args4j.CmdLineParser

/**
 * One command of the program.
 *
 * @property words the words that name the command, such as "configuration show"
 * @property summary one sentence for the list of commands
 * @property parserOf creates the parser that fills a new set of options
 * @property prepare parses the arguments after the words and answers what to run; throws CmdLineException
 */
public data class Command(
    val words: List<String>,
    val summary: String,
    val parserOf: () -> CmdLineParser,
    val prepare: (arguments: List<String>) -> CommandRun,
)

/** Carries out a command whose options are known. */
public typealias CommandRun = (Console) -> ExitCode

/** Creates a command whose [options] args4j fills from the annotations of their class. */
internal fun <Options : CommandOptions> command(
    words: String,
    summary: String,
    options: () -> Options,
    run: (Options, Console) -> ExitCode,
): Command =
    Command(
        words = words.split(' '),
        summary = summary,
        parserOf = { CmdLineParser(options()) },
        prepare = { arguments ->
            val filled = options()
            CmdLineParser(filled).parseArgument(arguments)
            val commandRun: CommandRun = { console -> run(filled, console) }
            commandRun
        },
    )
