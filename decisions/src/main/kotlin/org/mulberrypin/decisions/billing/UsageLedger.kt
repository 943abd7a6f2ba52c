package org.mulberrypin.decisions.billing

import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow

/**
 * The rows from which windows are reported. The rows of usage taken must be read before the checkpoints, so that no
 * checkpoint is older than what was taken from it.
 *
 * @property taken rows of usage taken, by [usageInstanceKey]
 * @property reports frozen windows that the platform has not confirmed
 */
public data class UsageLedger(
    val progress: UsageRow<UsageProgress>,
    val taken: Map<String, UsageRow<UsageTaken>>,
    val checkpoints: List<UsageCheckpoint>,
    val reports: List<UsageRow<UsageWindow>>,
)
