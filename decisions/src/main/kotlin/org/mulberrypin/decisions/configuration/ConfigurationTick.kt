/** Runs the periodic work: timeouts of fan-outs, reads, queries to peers, quorum checks and retries of submissions. */
package org.mulberrypin.decisions.configuration

internal fun handleTick(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    ConfigurationTransition(state)
        .then { completeExpiredFanouts(it, nowMilliseconds) }
        .then { if (nowMilliseconds >= it.nextReadMilliseconds) startRead(it, nowMilliseconds) else unchanged(it) }
        .then { if (shouldQueryPeers(it, nowMilliseconds)) queryPeers(it, nowMilliseconds) else unchanged(it) }
        .then { if (shouldCheckQuorum(it, nowMilliseconds)) startQuorumCheck(it, nowMilliseconds) else unchanged(it) }
        .then { advanceSubmissions(it, nowMilliseconds) }

private fun unchanged(state: ConfigurationState): ConfigurationTransition = ConfigurationTransition(state)

private fun completeExpiredFanouts(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.fanouts
        .filterValues { nowMilliseconds >= it.endMilliseconds }
        .keys
        .fold(unchanged(state)) { transition, number ->
            transition.then { completeFanout(it, number, nowMilliseconds) }
        }

private fun shouldQueryPeers(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Boolean =
    state.members.isNotEmpty() &&
        nowMilliseconds >= state.nextPeerQueryMilliseconds &&
        evidenceAgeMilliseconds(state, nowMilliseconds) >
        state.timeLimits.maximumEvidenceAgeMilliseconds * PEER_QUERY_AGE_RATIO

/** Queries a few members, different ones each time, for more recent evidence. */
private fun queryPeers(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val seed = hashOf("${state.instance}/${state.nextFanoutNumber}")
    val start = Math.floorMod(seed, state.members.size.toLong()).toInt()
    val delegations = (0 until minOf(PEER_QUERY_LIMIT, state.members.size)).map { offset ->
        Delegation(emptyRange, listOf(state.members[(start + offset) % state.members.size]))
    }
    val announced = AnnouncedVersion(state.version, emptyList(), PEER_QUERY_TIMEOUT_MILLISECONDS)
    val next = state.copy(nextPeerQueryMilliseconds = nowMilliseconds + PEER_QUERY_INTERVAL_MILLISECONDS)
    return startFanout(next, FanoutPurpose.PeerQuery, announced, delegations, nowMilliseconds)
}

/**
 * Returns whether this instance starts a quorum check. A few instances check on behalf of all: the delay grows with the
 * rank of the instance on the hash ring, so that most instances receive the result of another check before their own is
 * due.
 */
private fun shouldCheckQuorum(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Boolean {
    val position = positionOf(state.instance)
    val rank = state.members.count { it.position < position }.coerceAtMost(QUORUM_CHECK_MAXIMUM_RANK)
    val ageRatio = QUORUM_CHECK_BASE_AGE_RATIO + rank * QUORUM_CHECK_RANK_AGE_RATIO
    return state.hasReadStore &&
        nowMilliseconds >= state.nextQuorumCheckMilliseconds &&
        evidenceAgeMilliseconds(state, nowMilliseconds) > state.timeLimits.maximumEvidenceAgeMilliseconds * ageRatio
}

private fun startQuorumCheck(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val announced = AnnouncedVersion(state.version, emptyList(), FANOUT_TIMEOUT_MILLISECONDS)
    val next = state.copy(nextQuorumCheckMilliseconds = nowMilliseconds + QUORUM_CHECK_INTERVAL_MILLISECONDS)
    val delegations = delegateRange(state, fullRange)
    return startFanout(next, FanoutPurpose.QuorumCheck, announced, delegations, nowMilliseconds)
}

private fun evidenceAgeMilliseconds(
    state: ConfigurationState,
    nowMilliseconds: Long,
): Long = state.evidence.freshAsOfMilliseconds?.let { nowMilliseconds - it } ?: Long.MAX_VALUE

/** Time for which the root of a broadcast tree waits for answers. */
internal const val FANOUT_TIMEOUT_MILLISECONDS: Long = 3_000

/** Share of the maximum evidence age after which peers are queried. */
private const val PEER_QUERY_AGE_RATIO = 0.3
private const val PEER_QUERY_LIMIT = 2
private const val PEER_QUERY_INTERVAL_MILLISECONDS = 500L
private const val PEER_QUERY_TIMEOUT_MILLISECONDS = 1_000L

/** Share of the maximum evidence age after which the first instance on the hash ring starts a quorum check. */
private const val QUORUM_CHECK_BASE_AGE_RATIO = 0.35

/** Further share that each later instance on the hash ring waits, up to [QUORUM_CHECK_MAXIMUM_RANK] instances. */
private const val QUORUM_CHECK_RANK_AGE_RATIO = 0.05
private const val QUORUM_CHECK_MAXIMUM_RANK = 8
private const val QUORUM_CHECK_INTERVAL_MILLISECONDS = 1_000L
