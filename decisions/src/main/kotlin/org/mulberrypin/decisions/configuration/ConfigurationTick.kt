/** What an instance does as time passes: reads, questions to peers, surveys, and repeated steps of submissions. */
package org.mulberrypin.decisions.configuration

internal fun handleTick(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    ConfigurationTransition(state)
        .then { endLateFanouts(it, nowMilliseconds) }
        .then { if (nowMilliseconds >= it.nextReadMilliseconds) startRead(it, nowMilliseconds) else keep(it) }
        .then { if (asksPeers(it, nowMilliseconds)) askPeers(it, nowMilliseconds) else keep(it) }
        .then { if (surveys(it, nowMilliseconds)) startSurvey(it, nowMilliseconds) else keep(it) }
        .then { stepSubmissions(it, nowMilliseconds) }

private fun keep(state: ConfigurationState): ConfigurationTransition = ConfigurationTransition(state)

private fun endLateFanouts(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.fanouts
        .filterValues { nowMilliseconds >= it.endMilliseconds }
        .keys
        .fold(keep(state)) { transition, number -> transition.then { endFanout(it, number, nowMilliseconds) } }

private fun asksPeers(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Boolean =
    state.members.isNotEmpty() &&
        nowMilliseconds >= state.nextQuestionMilliseconds &&
        ageOfEvidence(state, nowMilliseconds) > state.bounds.certaintyMilliseconds * QUESTION_PART

/** Asks a few members, others each time, whether their evidence is younger. */
private fun askPeers(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val seed = hashOf("${state.instance}/${state.nextNumber}")
    val start = Math.floorMod(seed, state.members.size.toLong()).toInt()
    val asked = (0 until minOf(QUESTION_LIMIT, state.members.size)).map { offset ->
        Delegation(emptyRange, listOf(state.members[(start + offset) % state.members.size]))
    }
    val announced = AnnouncedVersion(state.version, emptyList(), QUESTION_TIMEOUT_MILLISECONDS)
    val next = state.copy(nextQuestionMilliseconds = nowMilliseconds + QUESTION_INTERVAL_MILLISECONDS)
    return startFanout(next, FanoutPurpose.Question, announced, asked, nowMilliseconds)
}

/**
 * Few instances survey on behalf of all: each waits longer the later it comes on the hash circle, and most of them
 * learn of a finished survey before their turn.
 */
private fun surveys(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Boolean {
    val position = positionOf(state.instance)
    val rank = state.members.count { it.position < position }.coerceAtMost(SURVEY_RANKS)
    val part = SURVEY_FIRST_PART + rank * SURVEY_RANK_PART
    return state.initialised &&
        nowMilliseconds >= state.nextSurveyMilliseconds &&
        ageOfEvidence(state, nowMilliseconds) > state.bounds.certaintyMilliseconds * part
}

private fun startSurvey(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val announced = AnnouncedVersion(state.version, emptyList(), FANOUT_TIMEOUT_MILLISECONDS)
    val next = state.copy(nextSurveyMilliseconds = nowMilliseconds + SURVEY_INTERVAL_MILLISECONDS)
    val delegations = delegateFrom(state, wholeRange)
    return startFanout(next, FanoutPurpose.Survey, announced, delegations, nowMilliseconds)
}

private fun ageOfEvidence(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Long = state.certainty.freshMilliseconds?.let { nowMilliseconds - it } ?: Long.MAX_VALUE

/** How long the root of a tree awaits answers. */
internal const val FANOUT_TIMEOUT_MILLISECONDS: Long = 3_000

private const val QUESTION_PART = 0.3
private const val QUESTION_LIMIT = 2
private const val QUESTION_INTERVAL_MILLISECONDS = 500L
private const val QUESTION_TIMEOUT_MILLISECONDS = 1_000L
private const val SURVEY_FIRST_PART = 0.35
private const val SURVEY_RANK_PART = 0.05
private const val SURVEY_RANKS = 8
private const val SURVEY_INTERVAL_MILLISECONDS = 1_000L
