package org.mulberrypin.decisions.attempts

/** A side effect that the attempt duty executes. */
public sealed interface AttemptEffect {
    /** Writes the records of [operations] in one commit; the result is reported with [number]. */
    public data class Commit(
        val number: Long,
        val operations: List<AttemptOperation>,
    ) : AttemptEffect

    /** Replies whether a request may run. */
    public data class Answer(
        val request: Long,
        val outcome: AttemptOutcome,
    ) : AttemptEffect

    /** Deletes some of the expired rows whose keys start with [prefix]. */
    public data class Forget(
        val prefix: String,
    ) : AttemptEffect
}
