package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow

/**
 * The rows from which windows are frozen and reported. The rows of usage taken must be read before the checkpoints, so
 * that no checkpoint is older than the usage that was taken from it.
 *
 * @property progress end of the newest frozen window
 * @property taken usage of each instance that frozen windows contain, by [usageInstanceKey]
 * @property checkpoints usage counted by each instance
 * @property reports reports of frozen windows whose rows have not been deleted yet
 */
public data class UsageLedger(
    val progress: UsageRow<UsageProgress>,
    val taken: Map<String, UsageRow<UsageTaken>>,
    val checkpoints: List<UsageCheckpoint>,
    val reports: List<UsageRow<UsageWindow>>,
)
