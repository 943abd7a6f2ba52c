package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.Outcome

/** A store with fixed [rows], returned in pages of [pageRows], that records the transactions of the code under test. */
internal class FakeRowStore(
    private val rows: List<StoredRow>,
    private val pageRows: Int = 500,
) {
    val transactions = ArrayList<RowTransaction>()

    val store = RowStore(
        transact = { transaction, callback ->
            transactions.add(transaction)
            callback(Outcome.Success(TransactionResult.Applied(transactions.size.toLong())))
        },
        readRows = { range, callback -> callback(Outcome.Success(page(range))) },
        pollFeed = { _, _ -> },
        putObject = { _, _, _ -> },
        readObject = { _, _ -> },
        deleteObject = { _, _ -> },
    )

    private fun page(range: RowRange): RowPage {
        val found = rows.filter { it.table == range.table && it.key >= range.fromKey }.sortedBy { it.key }
        return RowPage(found.take(pageRows), found.size > pageRows, version = 1)
    }
}
