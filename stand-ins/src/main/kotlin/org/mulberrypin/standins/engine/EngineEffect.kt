package org.mulberrypin.standins.engine

/** Effect of a state transition on the clients of the engine stand-in. */
internal sealed interface EngineEffect {
    /** Consecutive tokens of an answer, generated with one weight version. */
    data class Part(
        val task: Long,
        val text: String,
        val tokens: Int,
        val weightVersion: Long,
    ) : EngineEffect

    /** The answer is complete. */
    data class Finish(
        val task: EngineTask,
        val weightVersion: Long,
    ) : EngineEffect

    /** The task was not run because the queue is full. */
    data class Refuse(
        val task: Long,
    ) : EngineEffect

    /** The engine crashes. */
    data object Crash : EngineEffect
}
