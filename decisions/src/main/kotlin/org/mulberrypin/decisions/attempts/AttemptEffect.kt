package org.mulberrypin.decisions.attempts

/** A side effect that the attempt duty executes. */
public sealed interface AttemptEffect {
    /** Executes [writes] in one commit; the result is reported with [number]. */
    public data class Commit(
        val number: Long,
        val writes: List<RecordWrite>,
    ) : AttemptEffect

    /** Replies whether a request may run. */
    public data class ReportOutcome(
        val request: Long,
        val outcome: AttemptOutcome,
    ) : AttemptEffect

    /** Deletes some of the expired rows whose keys start with [prefix]. */
    public data class DeleteExpired(
        val prefix: String,
    ) : AttemptEffect
}
