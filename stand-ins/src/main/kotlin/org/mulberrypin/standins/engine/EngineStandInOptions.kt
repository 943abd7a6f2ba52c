package org.mulberrypin.standins.engine

/**
 * Options of an engine stand-in.
 *
 * @property port port on the loopback interface; 0 selects a free one
 * @property model name of the model that it serves
 * @property slots maximum number of concurrent answers; further requests wait, ordered by priority
 * @property waitingLimit maximum number of waiting requests; further requests are refused as not run
 * @property tokenMilliseconds time per token of a running answer, at least 1
 * @property prefillMicrosecondsPerToken prefill time per prompt token that is not cached
 * @property cacheBlocks capacity of the prefix cache in blocks; the least recently used are evicted first
 * @property weightVersion weight version at the start and after a restart
 * @property swapMilliseconds time for which generation is paused while weights are loaded
 * @property fencing true to refuse weight orders with an outdated fencing number
 * @property loadLagMilliseconds maximum age of the load that the load route reports
 * @property poisonText text in a prompt that crashes the engine; empty for none
 * @property restartMilliseconds time from a crash until the engine listens on the same port again; 0 for no restart
 * @property receivedLimit maximum number of logged requests; the oldest are dropped first
 */
public data class EngineStandInOptions(
    val port: Int = 0,
    val model: String = "stand-in",
    val slots: Int = 8,
    val waitingLimit: Int = 1_024,
    val tokenMilliseconds: Long = 5,
    val prefillMicrosecondsPerToken: Long = 50,
    val cacheBlocks: Int = 4_096,
    val weightVersion: Long = 1,
    val swapMilliseconds: Long = 200,
    val fencing: Boolean = true,
    val loadLagMilliseconds: Long = 0,
    val poisonText: String = "",
    val restartMilliseconds: Long = 0,
    val receivedLimit: Int = 10_000,
)
