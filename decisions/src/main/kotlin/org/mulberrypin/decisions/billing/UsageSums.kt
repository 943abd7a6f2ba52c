/**
 * Sums of usage by team and route. Sums of one instance only grow, so the difference of two of them is what was counted
 * in between.
 */
package org.mulberrypin.decisions.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.UsageLine

/** What is billed together. */
internal data class UsageKey(
    val team: String,
    val route: String,
)

internal typealias UsageSums = PersistentMap<UsageKey, UsageLine>

internal val noUsage: UsageSums = persistentMapOf()

internal fun List<UsageLine>.toSums(): UsageSums = fold(noUsage) { sums, line -> sums.plusLine(line) }

internal fun UsageSums.toLines(): List<UsageLine> = values.sortedWith(compareBy({ it.team }, { it.route }))

internal fun UsageSums.plusLine(line: UsageLine): UsageSums {
    val key = UsageKey(line.team, line.route)
    return put(key, combine(this[key], line, Long::plus))
}

internal fun UsageSums.plusSums(other: UsageSums): UsageSums =
    other.values.fold(this) { sums, line -> sums.plusLine(line) }

/** What these sums contain beyond [other]; never less than nothing. */
internal fun UsageSums.beyond(other: UsageSums): UsageSums =
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
    val start = first ?: emptyLine(second)
    return UsageLine(
        team = second.team,
        route = second.route,
        requests = operation(start.requests, second.requests),
        promptTokens = operation(start.promptTokens, second.promptTokens),
        generatedTokens = operation(start.generatedTokens, second.generatedTokens),
    )
}
