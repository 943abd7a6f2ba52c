package org.mulberrypin.standins.load

/**
 * Results of a trainer in a load test.
 *
 * @property stepsAsked number of requested steps
 * @property stepsWhole steps that completed with every sample delivered
 * @property samples delivered samples without duplicates
 * @property lost samples that were not delivered by the end of their step
 * @property doubled samples that were delivered again, in excess of the requested number, or for an unknown group
 * @property crossed samples whose text answers another prompt
 * @property damaged samples whose text is not the complete answer
 * @property corruptionDetails differences of the first corrupted samples from the expected answers
 * @property stale samples with a weight version older than the staleness bound permits
 * @property unnamed samples without a weight version for every token, or without any token
 * @property largestStaleness largest difference between the trainer's weight version and one in a sample
 * @property failedAttempts requests that were refused or got no valid response
 * @property failures reasons that entry instances gave for refused or failed steps
 * @property stepLatencies time from the request of a step to its completion; only completed steps count
 */
public data class TrainerReport(
    val stepsAsked: Int,
    val stepsWhole: Int,
    val samples: Long,
    val lost: Long,
    val doubled: Long,
    val crossed: Long,
    val damaged: Long,
    val corruptionDetails: List<String>,
    val stale: Long,
    val unnamed: Long,
    val largestStaleness: Long,
    val failedAttempts: Long,
    val failures: List<String>,
    val stepLatencies: LatencySummary,
)
