/**
 * Policies by which an instance chooses a server. All of them see the same: the requests of the instance in flight and
 * what the servers have reported.
 */
package org.mulberrypin.benchmarks.work

import org.mulberrypin.decisions.work.Choice
import org.mulberrypin.decisions.work.ExpectedCompletion
import org.mulberrypin.decisions.work.ServerCandidate
import org.mulberrypin.decisions.work.chooseNearlyBest
import org.mulberrypin.decisions.work.expectedCompletion
import org.mulberrypin.decisions.work.poolOthers
import kotlin.random.Random

/** Chooses the index of a server, for a request that is expected to run for [ChoiceInputs.runMilliseconds]. */
internal typealias WorkPolicy = (ChoiceInputs) -> Choice<Int>

/**
 * What an instance knows when it chooses.
 *
 * @property runMilliseconds expected run time of the request at a server of the usual speed
 * @property queuedMilliseconds expected run time of requests that are queued at the servers
 * @property reportedLoads requests at each server by its last report, with the time of the report
 */
internal data class ChoiceInputs(
    val candidates: List<ServerCandidate>,
    val reportedLoads: List<Pair<Int, Long>>,
    val runMilliseconds: Double,
    val queuedMilliseconds: Double,
    val seed: Long,
    val nowMilliseconds: Long,
)

/** The rule before: occupancy in eighths with reports of at most 300 ms, then the local failure domain, then a hash. */
internal fun occupancyInEighths(inputs: ChoiceInputs): Choice<Int> =
    unexpected(
        inputs.candidates.indices.minWith(
            compareBy<Int> { index ->
                val (load, reported) = inputs.reportedLoads[index]
                val known = if (inputs.nowMilliseconds - reported < CLIFF_MILLISECONDS) load else 0
                maxOf(inputs.candidates[index].inFlight, known) * EIGHTHS / inputs.candidates[index].slots
            }.thenBy { !inputs.candidates[it].isLocal }
                .thenBy { tieBreak(inputs, it) },
        ),
    )

/** Fewest requests, those of others as last reported whatever the age. */
internal fun leastOutstanding(inputs: ChoiceInputs): Choice<Int> =
    unexpected(
        inputs.candidates.indices.minWith(
            compareBy<Int> {
                outstanding(inputs, it)
            }.thenBy { tieBreak(inputs, it) },
        ),
    )

/** The server with fewer requests of two that are drawn at random. */
internal fun twoChoices(inputs: ChoiceInputs): Choice<Int> =
    unexpected(
        inputs.candidates.indices
            .sortedBy { tieBreak(inputs, it) }
            .take(2)
            .minBy { outstanding(inputs, it) },
    )

/** The shortest expected completion; one of those that are nearly equal is drawn at random. */
internal fun shortestCompletion(inputs: ChoiceInputs): Choice<Int> {
    val others = poolOthers(inputs.candidates)
    val choices = inputs.candidates.mapIndexed { index, candidate ->
        val queued = inputs.queuedMilliseconds
        Choice(index, expectedCompletion(candidate, inputs.runMilliseconds, queued, others, inputs.nowMilliseconds))
    }
    return chooseNearlyBest(choices) { tieBreak(inputs, it) } ?: unexpected(0)
}

private fun outstanding(
    inputs: ChoiceInputs,
    index: Int,
): Int = maxOf(inputs.candidates[index].inFlight, inputs.reportedLoads[index].first)

private fun tieBreak(
    inputs: ChoiceInputs,
    index: Int,
): Long = Random(inputs.seed * TIE_FACTOR + index).nextLong()

/** A choice without an estimate. */
private fun unexpected(index: Int): Choice<Int> = Choice(index, ExpectedCompletion())

private const val CLIFF_MILLISECONDS = 300
private const val EIGHTHS = 8
private const val TIE_FACTOR = 1_000_003L
