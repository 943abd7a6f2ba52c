package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.AttemptRecord
import org.mulberrypin.schema.generated.AttemptState

/**
 * A conditional write of a record, which succeeds only if all rows have the expected versions. Each write changes the
 * version of its row, so that a delayed or duplicate commit has no effect.
 *
 * @property conditions expected version of each row; 0 if the row must not exist
 * @property target key of the row to write; one of the conditions
 * @property deadlineMilliseconds time at which the request of a new attempt is refused if the record is not written, by
 *   the clock of this process
 * @property refused true after the request of a new attempt was refused
 * @property mayHaveCommitted true after the result of a commit of this record was lost
 */
public data class RecordWrite(
    val request: Long,
    val conditions: PersistentMap<String, Long>,
    val target: String,
    val record: AttemptRecord,
    val deadlineMilliseconds: Long,
    val refused: Boolean = false,
    val mayHaveCommitted: Boolean = false,
) {
    internal val isNewAttempt: Boolean
        get() = record.state == AttemptState.STARTED
}
