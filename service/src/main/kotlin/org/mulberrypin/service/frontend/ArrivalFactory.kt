/** Makes arrivals out of what callers send: digests, the expected size, the deadline and a seed. */
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

/** Makes the arrivals of requests. */
internal data class ArrivalFactory(
    val arrivalOf: (ArrivalSource) -> RequestArrival,
)

/** What an arrival is made from. */
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

/** Creates the factory of one instance. */
internal fun arrivalFactory(context: EntryContext): ArrivalFactory {
    val seeds = SplittableRandom(context.incarnation)
    return ArrivalFactory { source -> arrivalOf(source, context, synchronized(seeds) { seeds.nextLong() }) }
}

private fun arrivalOf(
    source: ArrivalSource,
    context: EntryContext,
    seed: Long,
): RequestArrival =
    RequestArrival(
        request = source.request,
        name = source.headers.get(REQUEST_ID_HEADER) ?: UUID(seed, source.request).toString(),
        route = source.route,
        team = source.caller.team,
        keyName = source.caller.keyName,
        priority = source.priority,
        contentDigest = sha256(source.content),
        prefixDigest = prefixDigest(source.caller.team, source.prefix),
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
    val longest = context.settings.requests.longestRequestMilliseconds
    val asked = headers.get(TIMEOUT_HEADER)?.toLongOrNull() ?: longest
    return asked.coerceIn(1, longest)
}

/** Digest of the start of a prompt; the team is part of it, so that teams do not share cached prefixes. */
private fun prefixDigest(
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
            .putString(prefix.take(PREFIX_CHARACTERS))
            .asLong
    }

/** SHA-256 digest of a text, in hexadecimal. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

/** The text that an engine is asked to continue. */
internal fun promptOf(content: CompletionRequest): String =
    if (content.messages.isEmpty()) {
        content.prompt
    } else {
        content.messages.joinToString(
            "\n",
        ) { "${it.role}: ${it.content}" }
    }

/** Tokens that a completion is expected to take, its prompt included. */
internal fun expectedTokens(content: CompletionRequest): Long =
    promptOf(content).length / CHARACTERS_PER_TOKEN + (content.maxTokens ?: USUAL_TOKENS).toLong()

internal const val REQUEST_ID_HEADER = "x-request-id"
private const val TIMEOUT_HEADER = "x-request-timeout-milliseconds"
private const val PREFIX_CHARACTERS = 1_024
private const val CHARACTERS_PER_TOKEN = 4L
private const val USUAL_TOKENS = 256
