package org.mulberrypin.decisions.rollouts

/** A group of a held step, by its index, that can be started, and the predicted tokens of its longest sample. */
internal data class GroupChoice(
    val step: HeldStep,
    val group: Int,
    val expectedTokens: Long,
)
