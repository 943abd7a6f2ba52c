package org.mulberrypin.decisions.rollouts

/** Identifies a step by its team, its trainer and the name that the trainer gave to it. */
public data class StepKey(
    val team: String,
    val trainer: String,
    val step: String,
) {
    /** Identifies the trainer among the trainers of all teams. */
    public val owner: String
        get() = "$team/$trainer"
}
