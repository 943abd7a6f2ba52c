package org.mulberrypin.command

/** The commands of the program, in the order of the help. */
public val allCommands: List<Command> =
    listOf(
        serveCommand,
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
