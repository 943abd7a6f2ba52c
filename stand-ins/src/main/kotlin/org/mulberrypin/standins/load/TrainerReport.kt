package org.mulberrypin.standins.load

/**
 * Results of a trainer in a load test.
 *
 * @property stepsRequested number of requested steps
 * @property stepsCompleted steps that completed with every sample delivered
 * @property samples delivered samples without duplicates
 * @property missing samples that were not delivered by the end of their step
 * @property duplicated samples that were delivered again, in excess of the requested number, or for an unknown group
 * @property mismatched samples whose text answers another prompt
 * @property corrupted samples whose text is not the complete answer
 * @property corruptionDetails differences of the first corrupted samples from the expected answers
 * @property stale samples with a weight version older than the staleness bound permits
 * @property missingVersions samples without a weight version for every token, or without any token
 * @property largestStaleness largest difference between the trainer's weight version and one in a sample
 * @property failedAttempts requests that were refused or got no valid response
 * @property failures reasons that entry instances gave for refused or failed steps
 * @property stepLatencies time from the request of a step to its completion; only completed steps count
 */
public data class TrainerReport(
    val stepsRequested: Int,
    val stepsCompleted: Int,
    val samples: Long,
    val missing: Long,
    val duplicated: Long,
    val mismatched: Long,
    val corrupted: Long,
    val corruptionDetails: List<String>,
    val stale: Long,
    val missingVersions: Long,
    val largestStaleness: Long,
    val failedAttempts: Long,
    val failures: List<String>,
    val stepLatencies: LatencySummary,
)
