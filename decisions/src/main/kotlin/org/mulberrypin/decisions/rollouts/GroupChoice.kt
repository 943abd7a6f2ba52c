package org.mulberrypin.decisions.rollouts

/** A group of a held step that could be started, and the tokens that its longest sample is expected to have. */
internal data class GroupChoice(
    val step: HeldStep,
    val group: Int,
    val expectedTokens: Long,
)
