package org.mulberrypin.service.rollouts

import org.mulberrypin.platform.BackendServerOrders
import org.mulberrypin.platform.InstanceRegistry
import org.mulberrypin.platform.ObjectStore
import org.mulberrypin.platform.Platform
import org.mulberrypin.platform.TableService
import org.mulberrypin.platform.UsageReports
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableRow
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** In-memory table service with conditional commits, and object store. While [isDown] is set, all calls fail. */
internal class FakePlatform {
    val isDown = AtomicBoolean(false)
    val objects = ConcurrentHashMap<String, String>()
    private val rows = mutableMapOf<String, TableRow>()
    private val unsupported =
        Outcome.Failure(Fault("unused", "platform", FaultKind.REFUSED, "FakePlatform does not support this call."))

    val platform = Platform(
        tables = TableService(
            commit = { unlessDown { commit(it) } },
            read = { keys -> unlessDown { synchronized(rows) { keys.mapNotNull { rows[it] } } } },
            scan = { prefix -> unlessDown { synchronized(rows) { rows.values.filter { it.key.startsWith(prefix) } } } },
        ),
        objects = ObjectStore(
            put = { name, content -> unlessDown { objects[name] = content } },
            get = { name -> unlessDown { objects[name] } },
        ),
        orders = BackendServerOrders({ unsupported }, { unsupported }),
        usage = UsageReports { unsupported },
        instances = InstanceRegistry({ unsupported }, { unsupported }, { unsupported }),
    )

    private fun <Value> unlessDown(operation: () -> Value): Outcome<Value> =
        if (isDown.get()) {
            Outcome.Failure(Fault("call", "platform", FaultKind.UNKNOWN, "No answer."))
        } else {
            Outcome.Success(operation())
        }

    private fun commit(commit: TableCommit): TableCommitAnswer =
        synchronized(rows) {
            val conflicts = commit.conditions
                .filter { (rows[it.key]?.version ?: 0) != it.version }
                .map { rows[it.key] ?: TableRow(it.key) }
            if (conflicts.isEmpty()) {
                commit.writes.forEach { write ->
                    val version = (rows[write.key]?.version ?: 0) + 1
                    if (write.delete) {
                        rows.remove(write.key)
                    } else {
                        rows[write.key] =
                            TableRow(write.key, version, write.value)
                    }
                }
            }
            TableCommitAnswer(conflicts.isEmpty(), conflicts)
        }
}
