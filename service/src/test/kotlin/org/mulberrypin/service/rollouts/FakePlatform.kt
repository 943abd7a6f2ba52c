package org.mulberrypin.service.rollouts

import org.mulberrypin.platform.BackendServerOrders
import org.mulberrypin.platform.InstanceList
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

/** A table service with conditions and an object store in memory; while [isDown] is set, neither answers. */
internal class FakePlatform {
    val isDown = AtomicBoolean(false)
    val objects = ConcurrentHashMap<String, String>()
    private val rows = mutableMapOf<String, TableRow>()
    private val unused = Outcome.Failure(Fault("unused", "platform", FaultKind.REFUSED, "Not part of the test."))

    val platform = Platform(
        tables = TableService(
            commit = { orDown { commit(it) } },
            read = { keys -> orDown { synchronized(rows) { keys.mapNotNull { rows[it] } } } },
            scan = { prefix -> orDown { synchronized(rows) { rows.values.filter { it.key.startsWith(prefix) } } } },
        ),
        objects = ObjectStore(
            put = { name, content -> orDown { objects[name] = content } },
            get = { name -> orDown { objects[name] } },
        ),
        orders = BackendServerOrders({ unused }, { unused }),
        usage = UsageReports { unused },
        instances = InstanceList({ unused }, { unused }, { unused }),
    )

    private fun <Value> orDown(act: () -> Value): Outcome<Value> =
        if (isDown.get()) {
            Outcome.Failure(Fault("call", "platform", FaultKind.UNKNOWN, "No answer."))
        } else {
            Outcome.Success(act())
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
