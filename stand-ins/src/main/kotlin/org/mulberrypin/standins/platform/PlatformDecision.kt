/** The state transitions of the platform stand-in, as a pure function of state, operation and time. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentList
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.OrderRecord
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.UsageWindow

/** Performs [operation] at [nowWallMilliseconds], the time since the Unix epoch. */
internal fun PlatformState.perform(
    operation: PlatformOperation,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): PlatformTransition =
    when (operation) {
        is PlatformOperation.CommitRows -> {
            commitRows(operation.commit)
        }

        is PlatformOperation.ReadRows -> {
            countRead(PlatformAnswer.Rows(readTables.read(operation.keys)))
        }

        is PlatformOperation.ScanRows -> {
            countRead(PlatformAnswer.Rows(readTables.scan(operation.prefix)))
        }

        is PlatformOperation.PutObject -> {
            PlatformTransition(copy(objects = objects.put(operation.name, operation.content)), PlatformAnswer.Done)
        }

        is PlatformOperation.GetObject -> {
            PlatformTransition(this, objects[operation.name]?.let(PlatformAnswer::Content) ?: PlatformAnswer.Missing)
        }

        is PlatformOperation.SendOrder -> {
            sendOrder(operation.order, options, nowWallMilliseconds)
        }

        is PlatformOperation.FindOrder -> {
            PlatformTransition(
                this,
                orders.answers[operation.name]?.let(PlatformAnswer::Order) ?: PlatformAnswer.Missing,
            )
        }

        is PlatformOperation.SendUsage -> {
            sendUsage(operation.window, options)
        }

        PlatformOperation.ListInstances -> {
            countRead(PlatformAnswer.Instances(instances.listAt(nowWallMilliseconds - instanceLagMilliseconds)))
        }

        is PlatformOperation.RegisterInstance -> {
            changeInstance(operation.entry.name, operation.entry, nowWallMilliseconds)
        }

        is PlatformOperation.RemoveInstance -> {
            changeInstance(operation.name, null, nowWallMilliseconds)
        }
    }

private fun PlatformState.countRead(answer: PlatformAnswer): PlatformTransition =
    PlatformTransition(copy(reads = reads + 1), answer)

private fun PlatformState.commitRows(commit: TableCommit): PlatformTransition {
    val change = tables.commit(commit)
    return PlatformTransition(copy(tables = change.state, commits = commits + 1), PlatformAnswer.Commit(change.answer))
}

private fun PlatformState.sendOrder(
    order: BackendServerOrder,
    options: PlatformStandInOptions,
    nowWallMilliseconds: Long,
): PlatformTransition {
    val change = orders.send(order, options, nowWallMilliseconds)
    val log = orderLog.addBounded(OrderRecord(order, change.answer), options.recordLimit)
    return PlatformTransition(copy(orders = change.state, orderLog = log), PlatformAnswer.Order(change.answer))
}

private fun PlatformState.sendUsage(
    window: UsageWindow,
    options: PlatformStandInOptions,
): PlatformTransition {
    val updated = usage.store(window)
    val log = usageLog.addBounded(window, options.recordLimit)
    return PlatformTransition(copy(usage = updated, usageLog = log), PlatformAnswer.Usage(updated.responseTo(window)))
}

private fun PlatformState.changeInstance(
    name: String,
    entry: InstanceEntry?,
    nowWallMilliseconds: Long,
): PlatformTransition {
    val updated = instances.change(name, InstanceChange(nowWallMilliseconds, entry))
    return PlatformTransition(copy(instances = updated), PlatformAnswer.Done)
}

private fun <Element> PersistentList<Element>.addBounded(
    element: Element,
    limit: Int,
): PersistentList<Element> = (if (size >= limit) removeAt(0) else this).add(element)
