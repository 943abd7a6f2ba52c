/** The scoring function of the rollout part and its implementations. */
package org.mulberrypin.service.rollouts

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import org.mulberrypin.platform.requireOrderlyEnds
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.encodeWireJson
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.PromptGroup
import org.mulberrypin.schema.generated.ScoreAnswer
import org.mulberrypin.schema.generated.ScoreRequest
import java.time.Duration

/** Scores the text of one sample of a group; blocks the calling thread. */
public typealias Scorer = (group: PromptGroup, text: String) -> Outcome<Double>

/** Scores every sample as 0, for trainers that compute scores themselves. */
public val zeroScorer: Scorer = { _, _ -> Outcome.Success(0.0) }

/**
 * Scores by sending a ScoreRequest with POST to /score at [address], given as host:port. A failed call or an error
 * status is returned as a fault.
 */
public fun httpScorer(
    address: String,
    timeoutMilliseconds: Long,
): Scorer {
    val client = WebClient
        .builder("http://$address")
        .factory(ClientFactory.builder().requireOrderlyEnds().build())
        .responseTimeout(Duration.ofMillis(timeoutMilliseconds))
        .build()
        .blocking()
    return { group, text ->
        val request = ScoreRequest(group = group.group, prompt = group.prompt, text = text)
        try {
            val answer = client
                .prepare()
                .post("/score")
                .content(MediaType.JSON, encode(request))
                .execute()
            val status = answer.status()
            if (status.isSuccess) readScore(answer.contentUtf8(), address) else statusFault(address, status)
        } catch (failure: Exception) {
            Outcome.Failure(Fault(SCORE_STEP, address, FaultKind.UNKNOWN, failure.message.orEmpty()))
        }
    }
}

private const val SCORE_STEP = "score sample"

private fun encode(request: ScoreRequest) = encodeWireJson(ScoreRequest.serializer(), request)

private fun readScore(
    content: String,
    address: String,
): Outcome<Double> =
    when (val answer = parseWireJson(content, ScoreAnswer.serializer(), SCORE_STEP, address)) {
        is Outcome.Success -> Outcome.Success(answer.value.score)
        is Outcome.Failure -> answer
    }

private fun statusFault(
    address: String,
    status: HttpStatus,
): Outcome<Double> =
    Outcome.Failure(Fault(SCORE_STEP, address, FaultKind.REFUSED, "Expected a success status, received $status."))
