/** The platform stand-in as a pure function of its state, an operation and the time. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentList
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.OrderRecord
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.UsageWindow

/** Performs [operation] at [nowWallMilliseconds], the time since the Unix epoch by the stand-in's clock. */
internal fun PlatformState.perform(
    operation: PlatformOperation,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): PlatformChange =
    when (operation) {
        is PlatformOperation.CommitRows -> {
            commitRows(operation.commit)
        }

        is PlatformOperation.ReadRows -> {
            readWith(PlatformAnswer.Rows(readTables.read(operation.keys)))
        }

        is PlatformOperation.ScanRows -> {
            readWith(PlatformAnswer.Rows(readTables.scan(operation.prefix)))
        }

        is PlatformOperation.PutObject -> {
            PlatformChange(copy(objects = objects.put(operation.name, operation.content)), PlatformAnswer.Done)
        }

        is PlatformOperation.GetObject -> {
            PlatformChange(this, objects[operation.name]?.let(PlatformAnswer::Content) ?: PlatformAnswer.Missing)
        }

        is PlatformOperation.SendOrder -> {
            sendOrder(operation.order, options, nowWallMilliseconds)
        }

        is PlatformOperation.FindOrder -> {
            PlatformChange(this, orders.answers[operation.name]?.let(PlatformAnswer::Order) ?: PlatformAnswer.Missing)
        }

        is PlatformOperation.SendUsage -> {
            sendUsage(operation.window, options)
        }

        PlatformOperation.ListInstances -> {
            readWith(PlatformAnswer.Instances(instances.listAt(nowWallMilliseconds - instanceLagMilliseconds)))
        }

        is PlatformOperation.RegisterInstance -> {
            changeInstance(operation.entry.name, operation.entry, nowWallMilliseconds)
        }

        is PlatformOperation.RemoveInstance -> {
            changeInstance(operation.name, null, nowWallMilliseconds)
        }
    }

private fun PlatformState.readWith(answer: PlatformAnswer): PlatformChange =
    PlatformChange(copy(reads = reads + 1), answer)

private fun PlatformState.commitRows(commit: TableCommit): PlatformChange {
    val change = tables.commit(commit)
    return PlatformChange(copy(tables = change.state, commits = commits + 1), PlatformAnswer.Commit(change.answer))
}

private fun PlatformState.sendOrder(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): PlatformChange {
    val change = orders.send(order, options, nowWallMilliseconds)
    val log = orderLog.addBounded(OrderRecord(order, change.answer), options.recordLimit)
    return PlatformChange(copy(orders = change.state, orderLog = log), PlatformAnswer.Order(change.answer))
}

private fun PlatformState.sendUsage(
    window: UsageWindow,
    options: PlatformStandInOptions,
): PlatformChange {
    val kept = usage.keep(window)
    val log = usageLog.addBounded(window, options.recordLimit)
    return PlatformChange(copy(usage = kept, usageLog = log), PlatformAnswer.Usage(kept.answerTo(window)))
}

private fun PlatformState.changeInstance(
    name: String,
    entry: InstanceEntry?,
    nowWallMilliseconds: Long,
): PlatformChange {
    val changed = instances.change(name, InstanceChange(nowWallMilliseconds, entry))
    return PlatformChange(copy(instances = changed), PlatformAnswer.Done)
}

private fun <Element> PersistentList<Element>.addBounded(
    element: Element,
    limit: Int,
): PersistentList<Element> = (if (size >= limit) removeAt(0) else this).add(element)
