package org.mulberrypin.decisions.attempts

/** What the decision about attempts is told. */
public sealed interface AttemptEvent {
    /**
     * Time has passed.
     *
     * @property wallMilliseconds milliseconds since the Unix epoch
     * @property seed decides which old records are forgotten next
     */
    public data class Tick(
        val wallMilliseconds: Long,
        val seed: Long,
    ) : AttemptEvent

    /**
     * A request asks whether it may run.
     *
     * @property name digest of team and idempotency key
     */
    public data class Begun(
        val begin: AttemptBegin,
        val name: String,
        val wallMilliseconds: Long,
    ) : AttemptEvent

    /** An attempt that was allowed to run has ended. */
    public data class Finished(
        val finish: AttemptFinish,
    ) : AttemptEvent

    /** Commit [number] wrote all its records. */
    public data class Committed(
        val number: Long,
    ) : AttemptEvent

    /** Commit [number] wrote nothing, since [rows] were not as expected. */
    public data class Conflicted(
        val number: Long,
        val rows: List<AttemptRow>,
    ) : AttemptEvent

    /** Commit [number] failed; [uncertain] tells whether it may have been carried out. */
    public data class CommitFailed(
        val number: Long,
        val uncertain: Boolean,
    ) : AttemptEvent
}
