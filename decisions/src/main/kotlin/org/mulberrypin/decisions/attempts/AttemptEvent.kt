package org.mulberrypin.decisions.attempts

/** Input of the attempt decisions. */
public sealed interface AttemptEvent {
    /**
     * Periodic timer tick.
     *
     * @property wallMilliseconds milliseconds since the Unix epoch
     * @property seed selects which expired records are deleted next
     */
    public data class Tick(
        val wallMilliseconds: Long,
        val seed: Long,
    ) : AttemptEvent

    /**
     * A request requires permission to run.
     *
     * @property name digest of team and idempotency key
     */
    public data class AttemptRequested(
        val attempt: AttemptRequest,
        val name: String,
        val wallMilliseconds: Long,
    ) : AttemptEvent

    /** A permitted attempt ended with a known result. */
    public data class Finished(
        val completion: AttemptCompletion,
    ) : AttemptEvent

    /** Commit [number] wrote all its records. */
    public data class Committed(
        val number: Long,
    ) : AttemptEvent

    /** Commit [number] wrote nothing, because [rows] have other versions than expected. */
    public data class Conflicted(
        val number: Long,
        val rows: List<AttemptRow>,
    ) : AttemptEvent

    /** Commit [number] failed; [mayHaveCommitted] is true if it may still take effect. */
    public data class CommitFailed(
        val number: Long,
        val mayHaveCommitted: Boolean,
    ) : AttemptEvent
}
