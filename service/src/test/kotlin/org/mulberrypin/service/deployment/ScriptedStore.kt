package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.Answer
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionAnswer
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import java.util.TreeMap

/** A call of the store that the test ends in one of four ways. */
internal class PendingCall<Value>(
    private val take: () -> Value,
    private val answer: Answer<Value>,
) {
    fun succeed() = answer(Outcome.Success(take()))

    fun refuse() = answer(failure(FaultKind.NOT_RUN))

    fun loseAnswer() {
        take()
        answer(failure(FaultKind.UNKNOWN))
    }

    /** Answers that the outcome is unknown; the call takes effect when the returned function is called, or never. */
    fun delay(): () -> Unit {
        answer(failure(FaultKind.UNKNOWN))
        return { take() }
    }

    private fun failure(kind: FaultKind) = Outcome.Failure(Fault("call", "store", kind, "scripted"))
}

/** Rows and objects in memory. Calls wait in [pending] until the test ends them. */
internal class ScriptedStore {
    val pending = ArrayList<PendingCall<*>>()

    /** Keys of results that were written although they were there already. */
    val overwritten = ArrayList<String>()

    private val rows = TreeMap<String, StoredRow>()
    private val objects = HashMap<String, ByteArray>()
    private var version = 0L

    val store = RowStore(
        transact = { transaction, answer -> pending.add(PendingCall({ apply(transaction) }, answer)) },
        readRows = { range, answer -> pending.add(PendingCall({ page(range) }, answer)) },
        follow = { _, _ -> error("the test hands rows on itself") },
        putObject = { name, content, answer -> pending.add(PendingCall({ objects[name] = content }, answer)) },
        readObject = { name, answer -> pending.add(PendingCall({ objects.getValue(name) }, answer)) },
        dropObject = { name, answer -> pending.add(PendingCall<Unit>({ objects.remove(name) }, answer)) },
    )

    fun rowsOf(table: String): List<StoredRow> = rows.values.filter { it.table == table }

    private fun apply(transaction: RowTransaction): TransactionAnswer {
        val holds = transaction.conditions.all { (rowOf(it)?.version ?: 0) == it.version }
        if (!holds) return TransactionAnswer.Conflict(transaction.conditions.mapNotNull(::rowOf))
        version++
        transaction.writes.forEach { write ->
            val row = StoredRow(write.table, write.partition, write.key, write.value, version)
            val earlier = rows.put(name(row.table, row.partition, row.key), row)
            if (earlier != null && write.table == StoreTables.RESULTS) overwritten.add(write.key)
        }
        return TransactionAnswer.Applied(version)
    }

    private fun rowOf(condition: RowCondition) = rows[name(condition.table, condition.partition, condition.key)]

    private fun page(range: RowRange): RowPage {
        val found = rows.values.filter {
            it.table == range.table && it.partition == range.partition && it.key >= range.fromKey &&
                (range.toKey.isEmpty() || it.key < range.toKey)
        }
        val limit = if (range.limit > 0) range.limit else found.size
        return RowPage(found.take(limit), found.size > limit, version)
    }

    private fun name(
        table: String,
        partition: String,
        key: String,
    ) = "$table|$partition|$key"
}
