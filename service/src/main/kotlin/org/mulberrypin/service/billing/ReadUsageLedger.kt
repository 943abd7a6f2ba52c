/**
 * Reads the rows from which usage windows are reported. The rows of the usage already taken into windows must be read
 * before the checkpoints; the decisions rely on that order.
 */
package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageLedger
import org.mulberrypin.decisions.billing.UsageRow
import org.mulberrypin.platform.TableService
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.then
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.UsageCheckpoint
import org.mulberrypin.schema.generated.UsageProgress
import org.mulberrypin.schema.generated.UsageTaken
import org.mulberrypin.schema.generated.UsageWindow

internal fun readUsageLedger(tables: TableService): Outcome<UsageLedger> =
    tables.read(listOf(PROGRESS_KEY)).then(::decodeProgress).then { progress ->
        readTaken(tables).then { taken ->
            tables.scan(CHECKPOINT_PREFIX).then { usageRows(it, UsageCheckpoint.serializer()) }.then { checkpoints ->
                tables.scan(REPORT_PREFIX).then { usageRows(it, UsageWindow.serializer()) }.map { reports ->
                    UsageLedger(progress, taken, checkpoints.map { it.value }, reports)
                }
            }
        }
    }

private fun decodeProgress(rows: List<TableRow>): Outcome<UsageRow<UsageProgress>> {
    val row = rows.firstOrNull { it.version > 0 } ?: return Outcome.Success(UsageRow(0, UsageProgress()))
    return usageRow(row, UsageProgress.serializer())
}

private fun readTaken(tables: TableService): Outcome<Map<String, UsageRow<UsageTaken>>> =
    tables.scan(TAKEN_PREFIX).then { rows ->
        usageRows(rows, UsageTaken.serializer()).map { taken ->
            rows.map { it.key.removePrefix(TAKEN_PREFIX) }.zip(taken).toMap()
        }
    }
