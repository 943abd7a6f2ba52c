package org.mulberrypin.standins.load

/**
 * What a trainer saw.
 *
 * @property stepsAsked steps that were asked for
 * @property stepsWhole steps of which every group came whole
 * @property samples samples that were delivered, each counted once
 * @property lost samples that were missing at the end of their step
 * @property doubled samples that were delivered again, or beyond the number asked for
 * @property crossed samples whose text answers another prompt
 * @property damaged samples whose text is not a whole answer
 * @property damages how the first damaged samples differ from their whole answers
 * @property stale samples with a weight version older than the bound permits
 * @property unnamed samples whose spans do not name a version for every token
 * @property largestStaleness largest difference between the trainer's version and one in a sample
 * @property failedAttempts requests that were refused or cut and sent again
 * @property failures why steps were refused or failed, as the entry instances said it
 * @property stepLatencies time from asking for a step to its last group
 */
public data class TrainerReport(
    val stepsAsked: Int,
    val stepsWhole: Int,
    val samples: Long,
    val lost: Long,
    val doubled: Long,
    val crossed: Long,
    val damaged: Long,
    val damages: List<String>,
    val stale: Long,
    val unnamed: Long,
    val largestStaleness: Long,
    val failedAttempts: Long,
    val failures: List<String>,
    val stepLatencies: LatencySummary,
)
