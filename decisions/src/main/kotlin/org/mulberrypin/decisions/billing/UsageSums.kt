/**
 * Sums of usage by team and route. The sums of one instance only increase, so the difference of two of them is the
 * usage counted in between.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.UsageLine

/** The team and route whose usage is summed. */
internal data class UsageKey(
    val team: String,
    val route: String,
)

internal typealias UsageSums = PersistentMap<UsageKey, UsageLine>

internal val emptySums: UsageSums = persistentMapOf()

internal fun List<UsageLine>.toSums(): UsageSums = fold(emptySums) { sums, line -> sums.plusLine(line) }

internal fun UsageSums.toLines(): List<UsageLine> = values.sortedWith(compareBy({ it.team }, { it.route }))

internal fun UsageSums.plusLine(line: UsageLine): UsageSums {
    val key = UsageKey(line.team, line.route)
    return put(key, combine(this[key], line, Long::plus))
}

internal fun UsageSums.plusSums(other: UsageSums): UsageSums =
    other.values.fold(this) { sums, line -> sums.plusLine(line) }

/** Returns the positive differences between these sums and [other]; negative ones count as 0. */
internal fun UsageSums.excessOver(other: UsageSums): UsageSums =
    values
        .map { line -> combine(line, other[UsageKey(line.team, line.route)] ?: emptyLine(line), ::difference) }
        .filter { it.requests > 0 || it.promptTokens > 0 || it.generatedTokens > 0 }
        .toSums()

private fun difference(
    first: Long,
    second: Long,
): Long = (first - second).coerceAtLeast(0)

private fun emptyLine(line: UsageLine): UsageLine = UsageLine(line.team, line.route)

internal fun combine(
    first: UsageLine?,
    second: UsageLine,
    operation: (Long, Long) -> Long,
): UsageLine {
    val initial = first ?: emptyLine(second)
    return UsageLine(
        team = second.team,
        route = second.route,
        requests = operation(initial.requests, second.requests),
        promptTokens = operation(initial.promptTokens, second.promptTokens),
        generatedTokens = operation(initial.generatedTokens, second.generatedTokens),
    )
}
