package org.mulberrypin.decisions.traffic

/**
 * Progress of a task whose job ended before all results of its group were in the store.
 *
 * @property endedMilliseconds time at which the job ended
 */
public data class CarriedTask(
    val team: String,
    val model: String,
    val progress: TaskProgress,
    val endedMilliseconds: Long,
)
