/** The faults of one soak, drawn from its seed. */
package org.mulberrypin.command.soak

import kotlin.random.Random

/** What is done to the system from outside. */
internal enum class SoakFault {
    KILL,
    KILL_ALL,
    FREEZE,
    STOP,
    RELOAD,
    STORE_DOWN,
    STORE_ANSWERS_LOST,
    HISTORY_FORGOTTEN,
    STORE_LINK_DELAYED,
    STORE_LINK_HELD,
    STORE_ANSWERS_HELD,
    STORE_LINK_RESET,
    ENGINE_LINK_RESET,
    ENGINE_ANSWERS_HELD,
    NEW_CONFIGURATION,
    NEW_WEIGHTS,
}

/** A fault of [forMilliseconds] on the instance or engine with the number [target]. */
internal data class PlannedFault(
    val atMilliseconds: Long,
    val forMilliseconds: Long,
    val fault: SoakFault,
    val target: Int,
)

/** Draws faults that come in series and overlap. */
internal fun soakPlan(
    seed: Long,
    lengthMilliseconds: Long,
    instances: Int,
): List<PlannedFault> {
    val random = Random(seed)
    var at = FIRST_MILLISECONDS
    val plan = ArrayList<PlannedFault>()
    while (at < lengthMilliseconds) {
        val fault = SoakFault.entries.random(random)
        plan.add(PlannedFault(at, random.nextLong(SHORTEST, LONGEST), fault, random.nextInt(instances)))
        at += random.nextLong(LONGEST_PAUSE)
    }
    return plan
}

private const val FIRST_MILLISECONDS = 1_000L
private const val SHORTEST = 200L
private const val LONGEST = 3_500L
private const val LONGEST_PAUSE = 1_800L
