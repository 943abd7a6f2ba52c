package org.mulberrypin.command

import org.mulberrypin.command.demo.demoCommand

/** The commands of the program, in the order of the help. */
public val allCommands: List<Command> =
    listOf(
        serveCommand,
        entryCommand,
        demoCommand,
        checkSettingsCommand,
        configurationShowCommand,
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
