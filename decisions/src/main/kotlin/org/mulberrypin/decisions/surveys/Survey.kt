package org.mulberrypin.decisions.surveys

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf

/**
 * A question that was put to several peers and is not yet answered as a whole.
 *
 * @property waitingFor names of the peers that have not answered
 * @property failed names of the peers that could not be asked
 * @property deadlineMilliseconds when the survey ends with the answers that it has, by the clock of this process
 */
public data class Survey<Subject, Answer>(
    val subject: Subject,
    val waitingFor: PersistentSet<String>,
    val deadlineMilliseconds: Long,
    val answers: PersistentList<Answer> = persistentListOf(),
    val failed: PersistentList<String> = persistentListOf(),
)
