/** Generates the sequence of faults of a soak run from its seed. */
package org.mulberrypin.command.soak

import kotlin.random.Random

/** A fault or change that a soak run injects. */
internal enum class SoakFault {
    KILL,
    KILL_ALL,
    SUSPEND,
    STOP,
    RELOAD,
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

/** A fault that lasts [forMilliseconds] and affects the instance or engine with the index [target]. */
internal data class PlannedFault(
    val atMilliseconds: Long,
    val forMilliseconds: Long,
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
    var atMilliseconds = FIRST_FAULT_MILLISECONDS
    val plan = ArrayList<PlannedFault>()
    while (atMilliseconds < lengthMilliseconds) {
        val fault = SoakFault.entries.random(random)
        plan.add(
            PlannedFault(atMilliseconds, random.nextLong(MIN_DURATION, MAX_DURATION), fault, random.nextInt(instances)),
        )
        atMilliseconds += random.nextLong(MAX_INTERVAL_MILLISECONDS)
    }
    return plan
}

private const val FIRST_FAULT_MILLISECONDS = 1_000L

/** Bounds of the duration of a fault, in milliseconds. */
private const val MIN_DURATION = 200L
private const val MAX_DURATION = 3_500L
private const val MAX_INTERVAL_MILLISECONDS = 1_800L
