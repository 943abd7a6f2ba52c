package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What one instance knows about steps. When a table is full, the call that would enlarge it is told to ask again.
 *
 * @property instances instances that can generate groups, this one included, with their incarnations
 * @property avoidedUntil instances that failed an attempt, with the time until which others are preferred
 * @property paces how fast instances have generated groups
 * @property held steps that this instance holds, at most [HELD_STEP_LIMIT]
 * @property lookups steps that this instance is asking the table service about, at most [LOOKUP_LIMIT]
 * @property watches heartbeats of the holders of other steps, at most [LOOKUP_LIMIT]
 * @property histories lengths of past groups by trainer, at most [HELD_STEP_LIMIT]; a further trainer goes without
 * @property draining true once this instance opens no further step
 * @property renewals heartbeats written so far
 * @property nextRenewalMilliseconds when the next heartbeat is due
 */
public data class StepState(
    val instances: PersistentMap<String, Long> = persistentMapOf(),
    val avoidedUntil: PersistentMap<String, Long> = persistentMapOf(),
    val paces: PersistentMap<String, InstancePace> = persistentMapOf(),
    val held: PersistentMap<StepKey, HeldStep> = persistentMapOf(),
    val lookups: PersistentMap<StepKey, StepLookup> = persistentMapOf(),
    val watches: PersistentMap<StepKey, HolderWatch> = persistentMapOf(),
    val histories: PersistentMap<String, LengthHistory> = persistentMapOf(),
    val draining: Boolean = false,
    val renewals: Long = 0,
    val nextRenewalMilliseconds: Long = 0,
)

/** Steps that one instance holds at most. */
public const val HELD_STEP_LIMIT: Int = 64

/** Steps held elsewhere that one instance follows at the same time at most. */
public const val LOOKUP_LIMIT: Int = 256
