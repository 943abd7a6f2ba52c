package org.mulberrypin.decisions.traffic

/**
 * Text of a task whose job ended before all results of its group were listed.
 *
 * @property endedMilliseconds when the job ended
 */
public data class CarriedTask(
    val team: String,
    val model: String,
    val progress: TaskProgress,
    val endedMilliseconds: Long,
)
