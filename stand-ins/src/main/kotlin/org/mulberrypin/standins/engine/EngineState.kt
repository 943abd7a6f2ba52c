/** The state of the engine stand-in. */
package org.mulberrypin.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.EngineLoad

/**
 * @property running the answers being generated, by task number
 * @property waiting tasks that wait for a slot, in order of arrival
 * @property fencingNumber highest fencing number of the accepted weight orders
 * @property swap the weight swap in progress, or null
 * @property failingSwaps number of subsequent swaps that fail and keep the old weights
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
 * An answer that is being generated.
 *
 * @property position position of the next token
 * @property dueMilliseconds clock time at which the next token is due
 */
internal data class RunningAnswer(
    val task: EngineTask,
    val position: Int,
    val dueMilliseconds: Long,
)

/** A weight swap in progress, during which no token is generated; its times are clock times. */
internal data class WeightSwap(
    val version: Long,
    val startedMilliseconds: Long,
    val endsMilliseconds: Long,
)

/** The load of an engine with a prefix cache of [cacheBlocks] blocks. */
internal fun EngineState.load(cacheBlocks: Int): EngineLoad =
    EngineLoad(
        running = running.size,
        waiting = waiting.size,
        cacheUsedPerMille = cache.blocks.size * PER_MILLE / cacheBlocks.coerceAtLeast(1),
        weightVersion = weightVersion,
        swapping = swap != null,
    )

private const val PER_MILLE = 1_000
