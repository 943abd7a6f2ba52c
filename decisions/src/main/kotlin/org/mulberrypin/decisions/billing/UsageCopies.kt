/**
 * Stores the copies of usage that peers send. When a peer sends no newer copy, it may have crashed, and its copy is
 * merged into its checkpoint. Merging the copy of a running peer is harmless, because the sums of a checkpoint only
 * increase and the peer's own next checkpoint contains the copy.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.UsageCheckpoint

/**
 * The copies that an instance stores for its peers.
 *
 * @property mergeDelayMilliseconds time without a newer copy after which a copy is merged
 * @property limit maximum number of copies; the copy of a further instance is refused, and its sender tries another
 * peer
 * @property copies the copies by [usageInstanceKey] of their sender
 */
public data class UsageCopiesState(
    val mergeDelayMilliseconds: Long,
    val limit: Int,
    val copies: PersistentMap<String, UsageCopy> = persistentMapOf(),
)

/**
 * A stored copy.
 *
 * @property lastActivityMilliseconds time at which the copy was received or its latest merge was started, by the clock
 * of this process
 */
public data class UsageCopy(
    val checkpoint: UsageCheckpoint,
    val lastActivityMilliseconds: Long,
)

/** An input of [decideUsageCopies]. */
public sealed interface UsageCopiesEvent {
    /** Periodic event that starts due merges. */
    public data object Tick : UsageCopiesEvent

    /** A peer sent a copy. */
    public data class Received(
        val checkpoint: UsageCheckpoint,
    ) : UsageCopiesEvent

    /** The checkpoint of an instance was read; a missing row has version 0 and a null value. */
    public data class CheckpointRead(
        val key: String,
        val row: UsageRow<UsageCheckpoint?>,
    ) : UsageCopiesEvent

    /** A merged checkpoint was written; its row contains the copy up to [sequence]. */
    public data class Merged(
        val key: String,
        val sequence: Long,
    ) : UsageCopiesEvent
}

/** An action that the billing thread performs for [decideUsageCopies]. */
public sealed interface UsageCopiesEffect {
    /** Read the checkpoint of an instance. */
    public data class ReadCheckpoint(
        val key: String,
    ) : UsageCopiesEffect

    /** Write the merged checkpoint on condition that its row still has the expected version. */
    public data class WriteMerged(
        val key: String,
        val checkpoint: UsageCheckpoint,
        val expectedVersion: Long,
    ) : UsageCopiesEffect
}

/** Key of the instance and incarnation that a checkpoint belongs to. */
public fun usageInstanceKey(checkpoint: UsageCheckpoint): String = "${checkpoint.instance}/${checkpoint.incarnation}"

/** Returns the next state and the effects of [event] at [nowMilliseconds] by the clock of this process. */
public fun decideUsageCopies(
    state: UsageCopiesState,
    event: UsageCopiesEvent,
    nowMilliseconds: Long,
): Transition<UsageCopiesState, UsageCopiesEffect> =
    when (event) {
        UsageCopiesEvent.Tick -> state.mergeStale(nowMilliseconds)
        is UsageCopiesEvent.Received -> Transition(state.store(event.checkpoint, nowMilliseconds))
        is UsageCopiesEvent.CheckpointRead -> state.merge(event)
        is UsageCopiesEvent.Merged -> Transition(state.discard(event.key, event.sequence))
    }

private fun UsageCopiesState.store(
    checkpoint: UsageCheckpoint,
    nowMilliseconds: Long,
): UsageCopiesState {
    val key = usageInstanceKey(checkpoint)
    val stored = copies[key]
    val outdated = stored != null && stored.checkpoint.sequence >= checkpoint.sequence
    if (outdated || (stored == null && copies.size >= limit)) return this
    return copy(copies = copies.put(key, UsageCopy(checkpoint, nowMilliseconds)))
}

private fun UsageCopiesState.mergeStale(nowMilliseconds: Long): Transition<UsageCopiesState, UsageCopiesEffect> {
    val stale = copies.filterValues { nowMilliseconds - it.lastActivityMilliseconds >= mergeDelayMilliseconds }
    val restarted = stale.entries.fold(copies) { updated, (key, copy) ->
        updated.put(key, copy.copy(lastActivityMilliseconds = nowMilliseconds))
    }
    return Transition(copy(copies = restarted), stale.keys.sorted().map(UsageCopiesEffect::ReadCheckpoint))
}

private fun UsageCopiesState.merge(
    event: UsageCopiesEvent.CheckpointRead,
): Transition<UsageCopiesState, UsageCopiesEffect> {
    val copied = copies[event.key]?.checkpoint ?: return Transition(this)
    val written = event.row.value ?: UsageCheckpoint()
    if (written.sequence >= copied.sequence) return Transition(discard(event.key, written.sequence))
    val counts = written.toCounts().mergedWith(copied.toCounts(), copied.windowStartWallMilliseconds)
    val merged = copied.copy(lines = counts.earlier.toLines(), windows = counts.toWindows())
    return Transition(this, listOf(UsageCopiesEffect.WriteMerged(event.key, merged, event.row.version)))
}

private fun UsageCopiesState.discard(
    key: String,
    sequence: Long,
): UsageCopiesState {
    val stored = copies[key]
    return if (stored == null || stored.checkpoint.sequence > sequence) this else copy(copies = copies.remove(key))
}
