package org.mulberrypin.decisions.attempts

import kotlinx.collections.immutable.PersistentMap
import org.mulberrypin.schema.generated.AttemptRecord
import org.mulberrypin.schema.generated.AttemptState

/**
 * A record that waits to be written, on the condition that certain rows have certain versions. Each write changes the
 * version of its row, so that a commit which arrives late or twice has no effect.
 *
 * @property conditions the expected version of each row; 0 expects it to be missing
 * @property target the row to write, one of the conditions
 * @property deadlineMilliseconds when the request of a new attempt is refused
 * @property answered true once the request of a new attempt was refused
 * @property uncertain true once the answer to a commit of this record was lost
 */
public data class AttemptOperation(
    val request: Long,
    val conditions: PersistentMap<String, Long>,
    val target: String,
    val record: AttemptRecord,
    val deadlineMilliseconds: Long,
    val answered: Boolean = false,
    val uncertain: Boolean = false,
) {
    internal val begins: Boolean
        get() = record.state == AttemptState.STARTED
}
