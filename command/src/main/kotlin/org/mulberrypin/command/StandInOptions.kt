package org.mulberrypin.command

import org.kohsuke.args4j.Option

/** Options that all stand-ins share. */
internal open class StandInOptions : CommandOptions {
    @field:Option(name = "--port", metaVar = "PORT", usage = "port on the loopback interface; 0 takes a free one")
    var port: Int = 0
}

/** Options of `stand-in engine`. */
internal class EngineOptions : StandInOptions() {
    @field:Option(name = "--model", metaVar = "NAME", usage = "model that the engine answers for")
    var model: String = "stand-in"

    @field:Option(name = "--slots", metaVar = "COUNT", usage = "answers generated at the same time")
    var slots: Int = 8

    @field:Option(name = "--token-milliseconds", metaVar = "MILLISECONDS", usage = "time for one token")
    var tokenMilliseconds: Long = 5

    @field:Option(name = "--poison", metaVar = "TEXT", usage = "text in a prompt that crashes the engine")
    var poison: String = ""

    @field:Option(
        name = "--restart-milliseconds",
        metaVar = "MILLISECONDS",
        usage = "time until a restart after a crash",
    )
    var restartMilliseconds: Long = 0
}
