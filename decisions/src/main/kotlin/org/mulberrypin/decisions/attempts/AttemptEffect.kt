package org.mulberrypin.decisions.attempts

/** What a duty carries out for the decision about attempts. */
public sealed interface AttemptEffect {
    /** Write the records of [operations] in one commit and report its end under [number]. */
    public data class Commit(
        val number: Long,
        val operations: List<AttemptOperation>,
    ) : AttemptEffect

    /** Tell a request whether it may run. */
    public data class Answer(
        val request: Long,
        val outcome: AttemptOutcome,
    ) : AttemptEffect

    /** Delete some of the rows whose keys start with [prefix]. */
    public data class Forget(
        val prefix: String,
    ) : AttemptEffect
}
