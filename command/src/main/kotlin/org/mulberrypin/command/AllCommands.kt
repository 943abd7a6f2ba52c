package org.mulberrypin.command

import org.mulberrypin.command.demo.demoCommand

/** All commands of the program, in the order in which the help text lists them. */
public val allCommands: List<Command> =
    listOf(
        serveCommand,
        entryCommand,
        rehearseCommand,
        demoCommand,
        checkSettingsCommand,
        configurationShowCommand,
        configurationCheckCommand,
        configurationPatchCommand,
        configurationHistoryCommand,
        keyGrantCommand,
        keyWithdrawCommand,
        statusCommand,
        explainCommand,
        burnCommand,
        standInPlatformCommand,
        standInEngineCommand,
        standInServiceCommand,
    )
