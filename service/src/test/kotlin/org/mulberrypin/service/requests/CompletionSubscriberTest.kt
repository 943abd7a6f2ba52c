package org.mulberrypin.service.requests

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.AttemptEnding
import org.reactivestreams.Subscription
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CompletionSubscriberTest {
    private val texts = ArrayList<String>()
    private val endings = ArrayList<String>()
    private var cancelled = 0
    private val listener = BackendListener(
        onChunks = { chunks, _ -> texts.addAll(chunks.map { it.text }) },
        onServiceResponse = { endings.add("plain") },
        onFinished = { reason, _ -> endings.add(reason) },
        onFailed = { ending, _ -> endings.add(ending.name) },
    )
    private val subscriber = CompletionSubscriber("10.0.0.1:80", listener).apply {
        onSubscribe(
            object : Subscription {
                override fun request(count: Long) = Unit

                override fun cancel() {
                    cancelled++
                }
            },
        )
        onNext(ResponseHeaders.of(HttpStatus.OK))
    }

    @Test
    fun `forwards the parts of a completion up to the end marker`() {
        receive(chunk("a"), chunk("b"), "data: [DONE]")
        expectThat(texts).containsExactly("a", "b")
        expectThat(endings).containsExactly("stop")
    }

    @Test
    fun `reports a completion as cut at a malformed event`() {
        receive(chunk("a"), "data: {\"choices\":[{", chunk("c"), "data: [DONE]")
        expectThat(texts).containsExactly("a")
        expectThat(endings).containsExactly(AttemptEnding.CUT.name)
        expectThat(cancelled).isEqualTo(1)
    }

    @Test
    fun `makes no further callbacks after a malformed event`() {
        receive("data: ?")
        receive(chunk("b"), "data: [DONE]")
        subscriber.onComplete()
        expectThat(texts).isEmpty()
        expectThat(endings).containsExactly(AttemptEnding.CUT.name)
    }

    @Test
    fun `reports a completion as cut once an event has no end`() {
        repeat(2_000) { subscriber.onNext(HttpData.ofUtf8("a".repeat(1_000))) }
        expectThat(endings).containsExactly(AttemptEnding.CUT.name)
        expectThat(cancelled).isEqualTo(1)
    }

    @Test
    fun `reports a completion as cut after informational heads without end`() {
        repeat(1_000) { subscriber.onNext(ResponseHeaders.of(HttpStatus.PROCESSING)) }
        expectThat(endings).containsExactly(AttemptEnding.CUT.name)
        expectThat(cancelled).isEqualTo(1)
    }

    // Guards against a read that ends within a character and damages the text of a completion.
    @Test
    fun `reads of any length leave a text whole`() {
        val bytes = "${chunk("\u00e9\u20ac\uD83C\uDF32")}\n\ndata: [DONE]\n\n".toByteArray()
        bytes.forEach { subscriber.onNext(HttpData.wrap(byteArrayOf(it))) }
        expectThat(texts).containsExactly("\u00e9\u20ac\uD83C\uDF32")
        expectThat(endings).containsExactly("stop")
    }

    // Guards against damaged bytes that are passed on as replacement characters of a complete text.
    @Test
    fun `reports a completion as cut at bytes that are not UTF-8`() {
        subscriber.onNext(HttpData.wrap("${chunk("a")}\n\n${chunk("\u00e9")}\n\n".toByteArray(Charsets.ISO_8859_1)))
        receive("data: [DONE]")
        expectThat(texts).containsExactly("a")
        expectThat(endings).containsExactly(AttemptEnding.CUT.name)
        expectThat(cancelled).isEqualTo(1)
    }

    private fun receive(vararg lines: String) =
        subscriber.onNext(HttpData.ofUtf8(lines.joinToString("") { "$it\n\n" }))

    private fun chunk(text: String) = """data: {"choices":[{"text":"$text","tokens":1}]}"""
}
