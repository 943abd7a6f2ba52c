package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.attempts.AttemptOutcome
import org.mulberrypin.decisions.attempts.AttemptResult
import org.mulberrypin.decisions.requests.RequestArrival
import org.mulberrypin.decisions.requests.RequestReply
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.CompletionChunk
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.requests.ServiceSubmission
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against answers of the own interface with other characters or bytes than the backend server sent. */
internal class CallerTextsTest {
    // Guards against "?" in place of a character whose halves an engine sends in two events.
    @Test
    fun `a character whose halves come in two events reaches the caller whole`() {
        val responder = completionResponder("request-1", CompletionRequest(model = "sorter", stream = true))
        listOf("a\uD83C", "\uDF32b").forEach { responder.onReply(RequestReply.Chunk(it, 1, 0)) }
        responder.onReply(RequestReply.Finished("stop", 1, emptyList(), "engine-1"))
        val body = responder.response
            .thenCompose { it.aggregate() }
            .join()
            .contentUtf8()
        val texts = body.lines().filter { it.startsWith("data: {") }.map { line ->
            wireJson
                .decodeFromString(CompletionChunk.serializer(), line.removePrefix("data: "))
                .choices
                .joinToString("") { it.text }
        }
        expectThat(texts.joinToString("")).isEqualTo("a\uD83C\uDF32b")
    }

    // Guards against a repeated call that is answered with a damaged copy of the first response.
    @Test
    fun `a response that is no text is not stored as one`() {
        expectThat(storedBody(byteArrayOf(0x50, 0x4b, 0xff.toByte(), 0xfe.toByte()))).isEqualTo(null)
        expectThat(storedBody("caf\u00e9 \uD83C\uDF32".toByteArray())).isEqualTo("caf\u00e9 \uD83C\uDF32")
    }

    private fun storedBody(body: ByteArray): String? {
        var stored: AttemptResult? = null
        val attempts = AttemptPart(
            begin = { _, onOutcome ->
                onOutcome(AttemptOutcome.MayRun)
                true
            },
            finish = { completion ->
                stored = completion.result
                true
            },
            unwrittenRecords = { 0 },
            stop = {},
        )
        val call = AggregatedHttpRequest.of(HttpMethod.POST, "/orders")
        runAtMostOnce(attempts, ServiceSubmission(arrival, call, {}, {}), "key", {}) { submission ->
            val response = AggregatedHttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, HttpData.wrap(body))
            submission.onResponse(response)
            submission.onReply(RequestReply.Finished("stop", 0, emptyList(), "shop-1"))
        }
        return (stored as AttemptResult.Answered).body
    }

    private companion object {
        private val arrival = RequestArrival(
            request = 1,
            requestId = "request-1",
            route = "orders",
            team = "team",
            keyName = "key",
            priority = RoutePriority.INTERACTIVE,
            contentDigest = "",
            promptPrefixDigest = 0,
            repeatable = false,
            expectedTokens = 0,
            minimumWeightVersion = 0,
            deadlineMilliseconds = 0,
            seed = 0,
        )
    }
}
