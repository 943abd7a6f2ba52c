package org.mulberrypin.decisions.rollouts

/**
 * A group from which a [GroupSelector] may choose.
 *
 * @property owner identifies the trainer among the trainers of all teams
 * @property expectedTokens predicted length of a sample of the group, in tokens; 0 when unknown
 * @property sequence position of the group in the order of arrival, or in its step
 */
public data class GroupCandidate(
    val owner: String,
    val expectedTokens: Long,
    val sequence: Long,
)
