/** Generates the sequence of faults of a soak run from its seed. */
package org.mulberrypin.command.soak

import kotlin.random.Random

/** A fault or change that a soak run injects. */
internal enum class SoakFault {
    INSTANCE_KILLED,
    ALL_INSTANCES_KILLED,
    INSTANCE_SUSPENDED,
    INSTANCE_STOPPED,
    SETTINGS_RELOADED,
    STORE_UNAVAILABLE,
    STORE_RESPONSES_LOST,
    STORE_HISTORY_DROPPED,
    STORE_LINK_DELAYED,
    STORE_REQUESTS_WITHHELD,
    STORE_RESPONSES_WITHHELD,
    STORE_LINK_RESET,
    ENGINE_LINK_RESET,
    ENGINE_RESPONSES_WITHHELD,
    NEW_CONFIGURATION,
    NEW_WEIGHTS,
}

/**
 * A fault of a soak run.
 *
 * @property startMilliseconds time of the injection since the start of the run
 * @property target index of the affected instance, which also selects the engine of a fault on an engine's link
 */
internal data class PlannedFault(
    val startMilliseconds: Long,
    val durationMilliseconds: Long,
    val fault: SoakFault,
    val target: Int,
)

/** Generates faults over [lengthMilliseconds] that may overlap; the same [seed] gives the same faults. */
internal fun soakPlan(
    seed: Long,
    lengthMilliseconds: Long,
    instances: Int,
): List<PlannedFault> {
    val random = Random(seed)
    var startMilliseconds = FIRST_FAULT_MILLISECONDS
    val plan = ArrayList<PlannedFault>()
    while (startMilliseconds < lengthMilliseconds) {
        val fault = SoakFault.entries.random(random)
        plan.add(
            PlannedFault(
                startMilliseconds,
                random.nextLong(MIN_DURATION_MILLISECONDS, MAX_DURATION_MILLISECONDS),
                fault,
                random.nextInt(instances),
            ),
        )
        startMilliseconds += random.nextLong(MAX_INTERVAL_MILLISECONDS)
    }
    return plan
}

private const val FIRST_FAULT_MILLISECONDS = 1_000L

private const val MIN_DURATION_MILLISECONDS = 200L
private const val MAX_DURATION_MILLISECONDS = 3_500L
private const val MAX_INTERVAL_MILLISECONDS = 1_800L
