package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.Callback
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import java.util.TreeMap

/** A call to the store whose outcome the test chooses: success, refusal, a lost response or a late execution. */
internal class PendingCall<Value>(
    private val execute: () -> Value,
    private val callback: Callback<Value>,
) {
    fun succeed() = callback(Outcome.Success(execute()))

    fun refuse() = callback(failure(FaultKind.NOT_RUN))

    fun loseResponse() {
        execute()
        callback(failure(FaultKind.UNKNOWN))
    }

    /** Reports an unknown outcome; the call takes effect when the returned function is called, if it ever is. */
    fun executeLater(): () -> Unit {
        callback(failure(FaultKind.UNKNOWN))
        return { execute() }
    }

    private fun failure(kind: FaultKind) = Outcome.Failure(Fault("call", "store", kind, "scripted"))
}

/** An in-memory store of rows and objects. Calls stay in [pending] until the test completes them. */
internal class ScriptedStore {
    val pending = ArrayList<PendingCall<*>>()

    /** Keys of result rows that were overwritten. */
    val overwritten = ArrayList<String>()

    private val rows = TreeMap<String, StoredRow>()
    private val objects = HashMap<String, ByteArray>()
    private var version = 0L

    val store = RowStore(
        transact = { transaction, callback -> pending.add(PendingCall({ apply(transaction) }, callback)) },
        readRows = { range, callback -> pending.add(PendingCall({ page(range) }, callback)) },
        pollFeed = { _, _ -> error("the scripted store has no change feed, the test delivers rows itself") },
        putObject = { name, content, callback -> pending.add(PendingCall({ objects[name] = content }, callback)) },
        readObject = { name, callback -> pending.add(PendingCall({ objects.getValue(name) }, callback)) },
        deleteObject = { name, callback -> pending.add(PendingCall<Unit>({ objects.remove(name) }, callback)) },
    )

    fun rowsOf(table: String): List<StoredRow> = rows.values.filter { it.table == table }

    private fun apply(transaction: RowTransaction): TransactionResult {
        val allConditionsHold = transaction.conditions.all { (rowOf(it)?.version ?: 0) == it.version }
        if (!allConditionsHold) return TransactionResult.Conflict(transaction.conditions.mapNotNull(::rowOf))
        version++
        transaction.writes.forEach { write ->
            // The store keeps bytes, so text that UTF-8 cannot encode comes back changed.
            val value = write.value.toByteArray().decodeToString()
            val row = StoredRow(write.table, write.partition, write.key, value, version)
            val earlier = rows.put(rowKey(row.table, row.partition, row.key), row)
            if (earlier != null && write.table == StoreTables.RESULTS) overwritten.add(write.key)
        }
        return TransactionResult.Applied(version)
    }

    private fun rowOf(condition: RowCondition) = rows[rowKey(condition.table, condition.partition, condition.key)]

    private fun page(range: RowRange): RowPage {
        val found = rows.values.filter {
            it.table == range.table && it.partition == range.partition && it.key >= range.fromKey &&
                (range.toKey.isEmpty() || it.key < range.toKey)
        }
        val limit = if (range.limit > 0) range.limit else found.size
        return RowPage(found.take(limit), found.size > limit, version)
    }

    private fun rowKey(
        table: String,
        partition: String,
        key: String,
    ) = "$table|$partition|$key"
}
