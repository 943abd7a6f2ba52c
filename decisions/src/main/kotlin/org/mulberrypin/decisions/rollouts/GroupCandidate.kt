package org.mulberrypin.decisions.rollouts

/**
 * A group that could be started next.
 *
 * @property owner the trainer, unique over all teams
 * @property expectedTokens tokens that a sample of the group is expected to have
 * @property sequence order in which the groups became known
 */
public data class GroupCandidate(
    val owner: String,
    val expectedTokens: Long,
    val sequence: Long,
)
