/** Creates arrivals from callers' requests; computes content digests, the deadline and a random seed. */
package org.mulberrypin.service.frontend

import com.dynatrace.hash4j.hashing.Hashing
import com.linecorp.armeria.common.RequestHeaders
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.EntryContext
import java.security.MessageDigest
import java.util.HexFormat
import java.util.SplittableRandom
import java.util.UUID

/** Creates the arrivals that are passed to the request decisions. */
internal data class ArrivalFactory(
    val create: (ArrivalSource) -> RequestArrival,
)

/** The input from which an arrival is created. */
internal data class ArrivalSource(
    val request: Long,
    val caller: Caller,
    val headers: RequestHeaders,
    val route: String,
    val content: String,
    val prefix: String,
    val priority: RoutePriority,
    val repeatable: Boolean,
    val expectedTokens: Long,
)

/** Creates the arrival factory of an instance; it may be called from any thread. */
internal fun arrivalFactory(context: EntryContext): ArrivalFactory {
    val seeds = SplittableRandom(context.incarnation)
    return ArrivalFactory { source -> createArrival(source, context, synchronized(seeds) { seeds.nextLong() }) }
}

private fun createArrival(
    source: ArrivalSource,
    context: EntryContext,
    seed: Long,
): RequestArrival =
    RequestArrival(
        request = source.request,
        requestId = source.headers.get(REQUEST_ID_HEADER) ?: UUID(seed, source.request).toString(),
        route = source.route,
        team = source.caller.team,
        keyName = source.caller.keyName,
        priority = source.priority,
        contentDigest = sha256(source.content),
        promptPrefixDigest = promptPrefixDigest(source.caller.team, source.prefix),
        repeatable = source.repeatable,
        expectedTokens = source.expectedTokens,
        minimumWeightVersion = 0,
        deadlineMilliseconds = context.clock.readMilliseconds() + timeoutMilliseconds(source.headers, context),
        seed = seed,
    )

private fun timeoutMilliseconds(
    headers: RequestHeaders,
    context: EntryContext,
): Long {
    val maxMilliseconds = context.settings.requests.longestRequestMilliseconds
    val requestedMilliseconds = headers.get(TIMEOUT_HEADER)?.toLongOrNull() ?: maxMilliseconds
    return requestedMilliseconds.coerceIn(1, maxMilliseconds)
}

/** Returns a digest of the start of a prompt. It includes the team, so that teams do not share cached prefixes. */
private fun promptPrefixDigest(
    team: String,
    prefix: String,
): Long =
    if (prefix.isEmpty()) {
        0
    } else {
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(team)
            .putString(prefix.take(MAX_PREFIX_CHARACTERS))
            .asLong
    }

/** Returns the SHA-256 digest of a text in hexadecimal. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

/** Returns the prompt text of a completion request; chat messages are joined, one per line. */
internal fun promptText(content: CompletionRequest): String =
    if (content.messages.isEmpty()) {
        content.prompt
    } else {
        content.messages.joinToString(
            "\n",
        ) { "${it.role}: ${it.content}" }
    }

/** Estimates the number of tokens of a completion, including its prompt. */
internal fun expectedTokens(content: CompletionRequest): Long =
    promptText(content).length / CHARACTERS_PER_TOKEN + (content.maxTokens ?: DEFAULT_COMPLETION_TOKENS).toLong()

internal const val REQUEST_ID_HEADER = "x-request-id"
private const val TIMEOUT_HEADER = "x-request-timeout-milliseconds"
private const val MAX_PREFIX_CHARACTERS = 1_024
private const val CHARACTERS_PER_TOKEN = 4L
private const val DEFAULT_COMPLETION_TOKENS = 256
