package org.mulberrypin.standins.engine

/**
 * How an engine stand-in behaves.
 *
 * @property port port on the loopback interface; 0 takes a free one
 * @property model name of the model that it answers for
 * @property slots answers that it generates at the same time; more wait in the order of their priority
 * @property waitingLimit requests that wait at most; more are refused as not run
 * @property tokenMilliseconds time for one token of each running answer, at least 1
 * @property prefillMicrosecondsPerToken time for each token of a prompt that is not cached
 * @property cacheBlocks blocks of prompt prefixes that the cache holds; the least recently used go first
 * @property weightVersion version of the weights at the start
 * @property swapMilliseconds time for which generation stands still while other weights are loaded
 * @property fencing true to refuse weight orders with an old fencing number
 * @property loadLagMilliseconds age of the load that is reported, at most
 * @property poisonText text in a prompt that crashes the engine; empty for none
 * @property restartMilliseconds time after a crash until it listens again under the same port; 0 for never
 * @property receivedLimit received requests that are kept for inspection at most; the oldest go first
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
