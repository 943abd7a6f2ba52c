package org.mulberrypin.decisions.rollouts

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The step state of one instance. When a map has reached its limit, calls that would add an entry are answered with a
 * retry delay.
 *
 * @property instances instances that can generate groups, including this one, with their incarnations
 * @property avoidedUntil instances with a failed attempt, with the time in milliseconds until which they are avoided
 * @property latencies observed time per token of instances
 * @property heldSteps steps that this instance holds, at most [HELD_STEP_LIMIT]
 * @property lookups pending lookups of steps that this instance does not hold, at most [LOOKUP_LIMIT]
 * @property watches observed heartbeats of the holders of other steps, at most [LOOKUP_LIMIT]
 * @property histories lengths of completed groups by trainer, at most [HELD_STEP_LIMIT]; further trainers have none
 * @property draining true while the instance shuts down and opens no further step
 * @property renewals number of the last heartbeat written
 * @property nextRenewalMilliseconds time at which the next heartbeat is due, by the clock of this process
 */
public data class StepState(
    val instances: PersistentMap<String, Long> = persistentMapOf(),
    val avoidedUntil: PersistentMap<String, Long> = persistentMapOf(),
    val latencies: PersistentMap<String, InstanceLatency> = persistentMapOf(),
    val heldSteps: PersistentMap<StepKey, HeldStep> = persistentMapOf(),
    val lookups: PersistentMap<StepKey, StepLookup> = persistentMapOf(),
    val watches: PersistentMap<StepKey, HolderWatch> = persistentMapOf(),
    val histories: PersistentMap<String, LengthHistory> = persistentMapOf(),
    val draining: Boolean = false,
    val renewals: Long = 0,
    val nextRenewalMilliseconds: Long = 0,
)

/** Maximum number of steps that one instance holds. */
public const val HELD_STEP_LIMIT: Int = 64

/** Maximum number of pending lookups, and of observed holders, on one instance. */
public const val LOOKUP_LIMIT: Int = 256
