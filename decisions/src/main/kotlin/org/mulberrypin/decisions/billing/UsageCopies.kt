/**
 * Decides what an instance does with the copies that its peers gave it: when the next copy stays away, the peer may
 * have died, and the copy is merged into the peer's checkpoint. Doing so for a peer that lives is harmless, because a
 * checkpoint only grows and the peer's own next one contains the copy.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.UsageCheckpoint

/**
 * The copies that an instance keeps for others.
 *
 * @property quietMilliseconds time without a newer copy after which a copy is merged
 * @property limit copies kept at most; a copy of a further instance is refused and its sender asks another peer
 */
public data class UsageCopiesState(
    val quietMilliseconds: Long,
    val limit: Int,
    val copies: PersistentMap<String, UsageCopy> = persistentMapOf(),
)

/**
 * A copy and when it was taken in or last tried to be merged, by the clock of the keeping instance.
 */
public data class UsageCopy(
    val checkpoint: UsageCheckpoint,
    val sinceMilliseconds: Long,
)

/** What happens to the copies. */
public sealed interface UsageCopiesEvent {
    /** Time has passed. */
    public data object Tick : UsageCopiesEvent

    /** A peer gave a copy. */
    public data class Received(
        val checkpoint: UsageCheckpoint,
    ) : UsageCopiesEvent

    /** The checkpoint of an instance was read; a missing one has version 0 and no content. */
    public data class CheckpointRead(
        val key: String,
        val row: UsageRow<UsageCheckpoint?>,
    ) : UsageCopiesEvent

    /** The merged checkpoint was written, and its row contains the copy up to a sequence. */
    public data class Merged(
        val key: String,
        val sequence: Long,
    ) : UsageCopiesEvent
}

/** What the duty for billing carries out for the copies. */
public sealed interface UsageCopiesEffect {
    /** Read the checkpoint of an instance. */
    public data class ReadCheckpoint(
        val key: String,
    ) : UsageCopiesEffect

    /** Write the merged checkpoint if the row still has the expected version. */
    public data class WriteMerged(
        val key: String,
        val checkpoint: UsageCheckpoint,
        val expectedVersion: Long,
    ) : UsageCopiesEffect
}

/** Key of the instance and start that a checkpoint belongs to. */
public fun usageInstanceKey(checkpoint: UsageCheckpoint): String = "${checkpoint.instance}/${checkpoint.incarnation}"

/** Decides an event of the copies. */
public fun decideUsageCopies(
    state: UsageCopiesState,
    event: UsageCopiesEvent,
    nowMilliseconds: Long,
): Transition<UsageCopiesState, UsageCopiesEffect> =
    when (event) {
        UsageCopiesEvent.Tick -> state.mergeQuiet(nowMilliseconds)
        is UsageCopiesEvent.Received -> Transition(state.keep(event.checkpoint, nowMilliseconds))
        is UsageCopiesEvent.CheckpointRead -> state.merge(event)
        is UsageCopiesEvent.Merged -> Transition(state.forget(event.key, event.sequence))
    }

private fun UsageCopiesState.keep(
    checkpoint: UsageCheckpoint,
    nowMilliseconds: Long,
): UsageCopiesState {
    val key = usageInstanceKey(checkpoint)
    val known = copies[key]
    val older = known != null && known.checkpoint.sequence >= checkpoint.sequence
    if (older || (known == null && copies.size >= limit)) return this
    return copy(copies = copies.put(key, UsageCopy(checkpoint, nowMilliseconds)))
}

private fun UsageCopiesState.mergeQuiet(nowMilliseconds: Long): Transition<UsageCopiesState, UsageCopiesEffect> {
    val quiet = copies.filterValues { nowMilliseconds - it.sinceMilliseconds >= quietMilliseconds }
    val tried = quiet.entries.fold(copies) { kept, (key, copy) ->
        kept.put(key, copy.copy(sinceMilliseconds = nowMilliseconds))
    }
    return Transition(copy(copies = tried), quiet.keys.sorted().map(UsageCopiesEffect::ReadCheckpoint))
}

private fun UsageCopiesState.merge(
    event: UsageCopiesEvent.CheckpointRead,
): Transition<UsageCopiesState, UsageCopiesEffect> {
    val copied = copies[event.key]?.checkpoint ?: return Transition(this)
    val written = event.row.value ?: UsageCheckpoint()
    if (written.sequence >= copied.sequence) return Transition(forget(event.key, written.sequence))
    val counts = written.toCounts().mergedWith(copied.toCounts(), copied.windowStartWallMilliseconds)
    val merged = copied.copy(lines = counts.earlier.toLines(), windows = counts.toWindows())
    return Transition(this, listOf(UsageCopiesEffect.WriteMerged(event.key, merged, event.row.version)))
}

private fun UsageCopiesState.forget(
    key: String,
    sequence: Long,
): UsageCopiesState {
    val kept = copies[key]
    return if (kept == null || kept.checkpoint.sequence > sequence) this else copy(copies = copies.remove(key))
}
