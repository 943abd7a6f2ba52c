/** What the engine stand-in is doing. */
package org.mulberrypin.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.EngineLoad

/**
 * @property running the answers under generation, by task
 * @property waiting tasks without a slot, in the order of arrival
 * @property fencingNumber highest fencing number of the weight orders carried out
 * @property swap the swap under way, or null
 * @property failingSwaps number of next swaps that end with the old weights
 */
internal data class EngineState(
    val weightVersion: Long,
    val running: PersistentMap<Long, RunningAnswer> = persistentMapOf(),
    val waiting: PersistentList<EngineTask> = persistentListOf(),
    val cache: PrefixCache = PrefixCache(),
    val fencingNumber: Long = 0,
    val swap: WeightSwap? = null,
    val failingSwaps: Int = 0,
)

/**
 * An answer under generation.
 *
 * @property position position of the next token
 * @property dueMilliseconds time at which the next token is due
 */
internal data class RunningAnswer(
    val task: EngineTask,
    val position: Int,
    val dueMilliseconds: Long,
)

/** A swap of weights, during which no token is generated. */
internal data class WeightSwap(
    val version: Long,
    val startedMilliseconds: Long,
    val endsMilliseconds: Long,
)

/** The load of an engine in this state, with room for [cacheBlocks] blocks of prefixes. */
internal fun EngineState.load(cacheBlocks: Int): EngineLoad =
    EngineLoad(
        running = running.size,
        waiting = waiting.size,
        cacheUsedPerMille = cache.blocks.size * PER_MILLE / cacheBlocks.coerceAtLeast(1),
        weightVersion = weightVersion,
        swapping = swap != null,
    )

private const val PER_MILLE = 1_000
