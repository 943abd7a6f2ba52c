package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.platform.deployment.FeedRequest
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.InstanceHeartbeat
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Load pattern: the heartbeats of many instances, of which a few change between two readings. */
class InstanceReaderTest {
    private val feeds = ArrayList<FeedRequest>()
    private val lists = ArrayList<List<LiveInstance>>()
    private var page = RowPage((1..82).map { row(it, sequence = 1, version = it.toLong()) }, false, version = 82)
    private var changes: Outcome<FeedResult> = Outcome.Success(FeedResult.Changes(emptyList(), 82))
    private val store = RowStore(
        transact = { _, _ -> },
        readRows = { _, callback -> callback(Outcome.Success(page)) },
        pollFeed = { request, callback ->
            feeds.add(request)
            callback(changes)
        },
        putObject = { _, _, _ -> },
        readObject = { _, _ -> },
        deleteObject = { _, _ -> },
    )
    private val signals = ArrayDeque<ControlSignal>()
    private val ports = InstanceReaderPorts(
        store,
        startDecisionLog("entry-1", systemClock()),
        signals::add,
        onHeartbeats = {},
        onInstances = lists::add,
        onCrashRecords = {},
    )
    private val reader = InstanceReader("entry-1", ports)
    private var now = 0L

    @Test
    fun `reads the table once and then what has changed`() {
        read()
        changes = Outcome.Success(FeedResult.Changes(listOf(row(3, sequence = 2, version = 90)), 90))
        read()
        read()
        expectThat(feeds).containsExactly(
            FeedRequest(StoreTables.INSTANCES, 82, 0),
            FeedRequest(StoreTables.INSTANCES, 90, 0),
        )
        expectThat(lists.single()).hasSize(82)
    }

    @Test
    fun `publishes the instances that stop writing in one list`() {
        repeat(4) { round ->
            changes = Outcome.Success(FeedResult.Changes(listOf(row(3, round + 2L, 90L + round)), 90L + round))
            read()
        }
        expectThat(lists).hasSize(2)
        expectThat(lists.last().map { it.name }).containsExactly("entry-3")
    }

    @Test
    fun `marks no instance as gone while the store does not answer`() {
        read()
        changes = Outcome.Failure(Fault("store feed", "store", FaultKind.UNKNOWN, "no answer"))
        repeat(10) { read() }
        expectThat(lists).hasSize(1)
    }

    @Test
    fun `reads the table again when the history is gone`() {
        read()
        changes = Outcome.Success(FeedResult.HistoryUnavailable)
        page = RowPage(listOf(row(7, sequence = 5, version = 100)), false, version = 100)
        read()
        expectThat(lists.last().map { it.name }).containsExactly("entry-7")
        changes = Outcome.Success(FeedResult.Changes(emptyList(), 100))
        read()
        expectThat(feeds.last().version).isEqualTo(100)
    }

    @Test
    fun `lists a bounded number of items in a line`() {
        expectThat(boundedList(emptyList())).isEmpty()
        expectThat(boundedList(listOf("a", "b"))).isEqualTo("a b")
        expectThat(boundedList((1..82).map { "$it" })).isEqualTo("1 2 3 4 5 6 7 8 and 74 more")
    }

    private fun read() {
        now += 500
        reader.read(now)
        while (true) {
            when (val signal = signals.removeFirstOrNull() ?: break) {
                is ControlSignal.InstancesRead -> reader.handlePage(signal.callNumber, signal.outcome, now)
                is ControlSignal.InstancesChanged -> reader.handleChanges(signal.callNumber, signal.outcome, now)
                else -> error("unexpected signal $signal")
            }
        }
    }

    private fun row(
        number: Int,
        sequence: Long,
        version: Long,
    ): StoredRow {
        val heartbeat = InstanceHeartbeat("entry-$number", 1, "zone-a", sequence)
        val value = recordJson.encodeToString(InstanceHeartbeat.serializer(), heartbeat)
        return StoredRow(StoreTables.INSTANCES, "", "entry-$number", value, version)
    }
}
