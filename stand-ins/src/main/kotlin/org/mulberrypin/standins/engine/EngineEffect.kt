package org.mulberrypin.standins.engine

/** What the engine stand-in does towards its clients. */
internal sealed interface EngineEffect {
    /** Consecutive tokens of an answer, produced by one version of the weights. */
    data class Part(
        val task: Long,
        val text: String,
        val tokens: Int,
        val weightVersion: Long,
    ) : EngineEffect

    /** The answer is whole. */
    data class Finish(
        val task: EngineTask,
        val weightVersion: Long,
    ) : EngineEffect

    /** The task was not run because too many wait. */
    data class Refuse(
        val task: Long,
    ) : EngineEffect

    /** The engine dies. */
    data object Crash : EngineEffect
}
