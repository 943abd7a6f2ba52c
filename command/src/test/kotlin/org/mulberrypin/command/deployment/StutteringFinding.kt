/** Compares what callers and trainers received with what the servers did, after a run of servers that answer twice. */
package org.mulberrypin.command.deployment

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/** A violated guarantee of a [kind], with a description of the case. */
internal data class StutteringFinding(
    val kind: String,
    val detail: String,
)

/**
 * Checks all [sent] requests and listed [results] against the requests that servers [handled]. A few repeats may reach
 * their server late when this process stalls, so that their time seems to end late; more than a few are a finding,
 * unless a process was suspended or held up, as told by [suspensions].
 */
internal fun checkStuttering(
    sent: Collection<SentRequest>,
    results: Collection<JsonObject>,
    handled: Collection<HandledRequest>,
    suspensions: Collection<LongRange>,
): List<StutteringFinding> {
    val byId = handled.groupBy { it.id }
    val isSuspended = { from: Long, to: Long -> suspensions.any { it.first <= to && it.last >= from } }
    val requestFindings = sent.flatMap { request ->
        val own = byId[request.id].orEmpty()
        checkResponse(request, own) + checkSends(request, own) + checkContent(request, own) +
            own.flatMap { checkDeadline(request, own.first(), it, isSuspended) }
    }
    val lateRepeats = requestFindings.filter { it.kind == LATE_REPEAT }
    val isBudgetKept = lateRepeats.size <= MAX_LATE_REPEATS
    return requestFindings.filter { it.kind != LATE_REPEAT || !isBudgetKept } +
        handled.flatMap(::checkPool) +
        results.flatMap { checkResult(it, byId) }
}

private fun checkResponse(
    request: SentRequest,
    own: List<HandledRequest>,
): List<StutteringFinding> {
    val response = request.response ?: return finding(request.surplus, SURPLUS, request.id)
    val status = response.first
        .split(' ')
        .getOrNull(1)
        ?.toIntOrNull() ?: 0
    val name = response.header(StutteringServer.REQUEST_ID)
    val signature = response.header("mulberrypin-response-seal")
    val detail = describe(request, status, signature, own)
    val source = own.firstOrNull { it.signature == signature }
    val isSuccess = status in SUCCESSES
    val isForeign = (name != null && name != request.id) || isFailureOfAnother(response, request)
    return finding(request.surplus, SURPLUS, detail) +
        finding(isForeign, if (isSuccess) "success of another request" else "failure of another request", detail) +
        finding(isSuccess && own.none { it.status in SUCCESSES }, "success where servers answered failures", detail) +
        finding(isSuccess && source == null, "success without a signature of its own", detail) +
        finding(isSuccess && source != null && source.body != response.body, "success with another body", detail) +
        finding(source != null && source.status != status, "signature with another status", detail) +
        finding(!isSuccess && signature != null && source == null, "failure with a foreign signature", detail) +
        finding(status in PROMISES && own.any { it.ran }, "refused as not run, but ran", detail) +
        finding(status !in ALLOWED, "unexpected status $status", detail)
}

private fun isFailureOfAnother(
    response: RawMessage,
    request: SentRequest,
) = response.body.startsWith("<") && !response.body.startsWith("<${request.id} ")

private fun checkSends(
    request: SentRequest,
    own: List<HandledRequest>,
): List<StutteringFinding> {
    val detail = describe(request, 0, null, own)
    val sends = own.filter { it.status != MISDIRECTED }
    return finding(!request.isRepeatable && own.count { it.ran } > 1, "ran more than once", detail) +
        finding(own.count { it.ran } > MAX_ATTEMPTS, "ran more often than allowed", detail) +
        finding(sends.distinctBy { it.server }.size > MAX_ATTEMPTS, "sent to more servers than allowed", detail)
}

private fun checkDeadline(
    request: SentRequest,
    first: HandledRequest,
    send: HandledRequest,
    isSuspended: (from: Long, to: Long) -> Boolean,
): List<StutteringFinding> {
    val left = send.remainingMilliseconds()
    val ends = send.arrivalMilliseconds + (left ?: 0)
    val firstEnds = first.arrivalMilliseconds + (first.remainingMilliseconds() ?: 0)
    val latestEnd = maxOf(request.sentMilliseconds + request.deadlineMilliseconds, firstEnds) + SLACK_MILLISECONDS
    val isLateRepeat = send.arrivalMilliseconds > first.arrivalMilliseconds + SLACK_MILLISECONDS &&
        !isSuspended(request.sentMilliseconds, send.arrivalMilliseconds)
    val detail = "${request.id}: $left ms left of ${request.deadlineMilliseconds} ms at ${send.server}"
    val isLonger = left != null && left > request.deadlineMilliseconds + SLACK_MILLISECONDS
    return finding(left == null, "no deadline", detail) +
        finding(isLonger, "deadline longer than the caller's", detail) +
        finding(isLateRepeat && ends > latestEnd, LATE_REPEAT, detail)
}

private fun HandledRequest.remainingMilliseconds() = call.header("mulberrypin-deadline-ms")?.toLongOrNull()

private fun checkContent(
    request: SentRequest,
    own: List<HandledRequest>,
): List<StutteringFinding> {
    val isChanged = { send: HandledRequest ->
        send.call.body != request.body || send.call.first != "${request.method} ${request.path} HTTP/1.1"
    }
    return finding(own.any(isChanged), "request changed on its way", request.id) +
        finding(own.any { it.call.header("authorization") != null }, "key passed on", request.id)
}

private fun checkPool(send: HandledRequest): List<StutteringFinding> {
    val isEngineCall = " /sort/" in send.call.first
    val isWrong = send.ran && isEngineCall != (send.pool == StutteringServer.ENGINES)
    return finding(isWrong, "run by another service", "${send.id} at ${send.server}: ${send.call.first}")
}

private fun checkResult(
    result: JsonObject,
    handled: Map<String, List<HandledRequest>>,
): List<StutteringFinding> {
    val id = result.text("id")
    val scores = handled[id.replace("task", "score")].orEmpty()
    val failures = maxOf(handled[id].failures(), scores.failures())
    val sends = (handled[id].orEmpty() + scores).map { listOf(it.id, it.server, it.status, it.run, it.lastEvent()) }
    val isErrored = result.text("state") == "errored"
    if (isErrored) return finding(failures < MAX_ATTEMPTS, "task given up early", "$id: $sends")
    val score = result.text("score")
    val isScored = scores.any { it.status in SUCCESSES && it.signature == score }
    val lines = result.text("text").lines()
    return finding(!isScored, "score of no successful scoring call", "$id: $score, sends ${scores.map { it.status }}") +
        finding(lines.size != StutteringServer.EVENTS_OF_TASK, "text that is not whole", "$id: $lines") +
        finding(!isJoinedRightly(lines, handled[id].orEmpty()), "text joined wrongly", "$id: $lines") +
        finding(failures > MAX_TASK_FAILURES, "task run on and on", "$id: $failures failures")
}

private fun List<HandledRequest>?.failures() = orEmpty().count { it.ran && it.status !in SUCCESSES }

/** Whether each event follows the one before in its run, or begins a run that was asked to go on there. */
private fun isJoinedRightly(
    lines: List<String>,
    runs: List<HandledRequest>,
): Boolean {
    var before = ""
    return lines.withIndex().all { (index, line) ->
        val run = line.substringBeforeLast('/')
        val isBegin = runs.any { "${it.server}/${it.run}" == run && it.lastEvent() == index }
        val isRight = line.endsWith("/${index + 1}") && (run == before || isBegin)
        before = run
        isRight
    }
}

private fun HandledRequest.lastEvent() = call.header("last-event-id")?.toInt() ?: 0

private fun describe(
    request: SentRequest,
    status: Int,
    signature: String?,
    own: List<HandledRequest>,
) = "${request.method} ${request.path}: status $status, signature $signature, connection answer " +
    "'${request.response?.first}', name ${request.response?.header(StutteringServer.REQUEST_ID)}, body " +
    "'${request.response?.body?.take(SHOWN_CHARACTERS)}', " +
    "sends ${own.map { listOf(it.server, it.status, it.signature) }}"

private fun finding(
    isViolated: Boolean,
    kind: String,
    detail: String,
): List<StutteringFinding> = if (isViolated) listOf(StutteringFinding(kind, detail)) else emptyList()

private fun JsonObject.text(name: String): String = get(name)?.jsonPrimitive?.content.orEmpty()

private const val SURPLUS = "surplus bytes on an idle connection"
private const val LATE_REPEAT = "repeat with a deadline that ends late"
private const val MAX_LATE_REPEATS = 20
private val SUCCESSES = 200..299
private val PROMISES = setOf(408, 421, 429, 503)
private val ALLOWED = setOf(StutteringServer.OK, 408, 429, 500, 502, 503, 504)
private const val MISDIRECTED = 421
private const val MAX_ATTEMPTS = 3
private const val MAX_TASK_FAILURES = 9
private const val SLACK_MILLISECONDS = 500L
private const val SHOWN_CHARACTERS = 60
