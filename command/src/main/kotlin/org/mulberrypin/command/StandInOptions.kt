package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options shared by all stand-ins. */
internal open class StandInOptions : CommandOptions {
    @field:Option(name = "--port", metaVar = "PORT", usage = "port on the loopback interface; 0 selects a free port")
    var port: Int = 0
}

/** Options of `stand-in engine`. */
internal class EngineOptions : StandInOptions() {
    @field:Option(name = "--model", metaVar = "NAME", usage = "name of the model that the engine serves")
    var model: String = "stand-in"

    @field:Option(name = "--slots", metaVar = "COUNT", usage = "maximum number of concurrent completions")
    var slots: Int = 8

    @field:Option(name = "--token-milliseconds", metaVar = "MILLISECONDS", usage = "generation time of one token")
    var tokenMilliseconds: Long = 5

    @field:Option(name = "--poison", metaVar = "TEXT", usage = "text that crashes the engine when a prompt contains it")
    var poison: String = ""

    @field:Option(
        name = "--restart-milliseconds",
        metaVar = "MILLISECONDS",
        usage = "time between a crash and the restart",
    )
    var restartMilliseconds: Long = 0
}
