package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.platform.deployment.FeedAnswer
import org.mulberrypin.platform.deployment.PlatformTables
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.decodeBackendServer
import org.mulberrypin.platform.deployment.decodeConfiguration
import org.mulberrypin.platform.deployment.decodeNamedWeights
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.NamedWeights
import org.mulberrypin.schema.generated.ServingConfiguration

/** Where the follow duty hands on what changed. */
internal data class FollowOutlets(
    val onConfiguration: (ServingConfiguration) -> Unit,
    val onWeights: (List<NamedWeights>) -> Unit,
    val onBackends: (List<BackendServerEntry>) -> Unit,
    val onJobs: (List<JobRow>) -> Unit,
)

/** An answer of the store to a call of the follow duty. */
internal sealed interface FollowSignal {
    data class PageRead(
        val table: String,
        val question: Long,
        val outcome: Outcome<RowPage>,
    ) : FollowSignal

    data class FeedAnswered(
        val table: String,
        val question: Long,
        val outcome: Outcome<FeedAnswer>,
    ) : FollowSignal
}

/** Follows the tables that operators, trainers, backend servers and other instances write. */
internal class FollowDuty(
    private val store: RowStore,
    private val outlets: FollowOutlets,
    private val clock: ServiceClock,
    private val log: DecisionLog,
) {
    private val ring: BoundedRing<FollowSignal> = boundedRing("follow", RING_CAPACITY)
    private var tables = listOf(
        FollowedTable(PlatformTables.OPERATOR, listOf("")),
        FollowedTable(PlatformTables.BACKEND_SERVERS, listOf("")),
        FollowedTable(StoreTables.JOBS, jobPartitions),
    ).associateBy { it.table }
    private var lapses = LapsedEntries()
    private var configurationVersion = 0L
    private var listedBackends: List<BackendServerEntry>? = null
    private var duty: Duty? = null

    fun start(): FollowDuty {
        duty = startDuty("follow", ring, clock, TICK_MILLISECONDS, ::handle, ::tick)
        return this
    }

    fun stop() {
        duty?.stop(STOP_MILLISECONDS)
    }

    private fun handle(signal: FollowSignal) {
        val now = clock.readMilliseconds()
        when (signal) {
            is FollowSignal.PageRead -> accept(
                signal.table,
                now,
            ) { it.acceptPage(signal.question, signal.outcome, now) }

            is FollowSignal.FeedAnswered -> accept(
                signal.table,
                now,
            ) { it.acceptFeed(signal.question, signal.outcome, now) }
        }
    }

    private fun accept(
        table: String,
        now: Long,
        change: (FollowedTable) -> FollowedTable,
    ) {
        val before = tables.getValue(table)
        val after = change(before)
        tables = tables + (table to after)
        noteDependency(before, after)
        val isBackends = table == PlatformTables.BACKEND_SERVERS
        if (isBackends && after.failures > 0) lapses = lapses.copy(troubledMilliseconds = now)
        if (after.version != null && (after.rows != before.rows || before.version == null)) publish(before, after, now)
        ask(after, now)
    }

    private fun noteDependency(
        before: FollowedTable,
        after: FollowedTable,
    ) {
        if (before.failures == 0 && after.failures > 0) {
            log.write(PART, after.table, "store feed lost", "store", "version=${after.version}")
        }
        if (before.failures > 0 && after.failures == 0) {
            log.write(
                PART,
                after.table,
                "store feed regained",
                "store",
                "failures=${before.failures} version=${after.version}",
            )
        }
    }

    private fun publish(
        before: FollowedTable,
        after: FollowedTable,
        now: Long,
    ) {
        when (after.table) {
            PlatformTables.OPERATOR -> publishOperator(after)
            PlatformTables.BACKEND_SERVERS -> publishBackends(after, now)
            else -> publishJobs(before, after)
        }
    }

    private fun publishOperator(table: FollowedTable) {
        val rows = table.rows.values
        val row = rows.firstOrNull { it.key == PlatformTables.CONFIGURATION_KEY }
        if (row != null && row.version > configurationVersion) {
            val configuration = decodeConfiguration(row.value)
            if (configuration == null) {
                log.write(PART, "configuration", "not readable", "store", "rowVersion=${row.version}")
            } else {
                configurationVersion = row.version
                log.write(
                    PART,
                    "configuration",
                    "in force",
                    "store",
                    "version=${configuration.version} rowVersion=${row.version}",
                )
                outlets.onConfiguration(configuration)
            }
        }
        val named = rows.filter { it.key.startsWith(PlatformTables.WEIGHTS_PREFIX) }
        outlets.onWeights(named.mapNotNull(::readWeights))
    }

    private fun readWeights(row: StoredRow): NamedWeights? {
        val named = decodeNamedWeights(row.value)
        if (named == null) log.write(PART, row.key, "named version not readable", "store", "rowVersion=${row.version}")
        return named
    }

    private fun publishBackends(
        table: FollowedTable,
        now: Long,
    ) {
        lapses = lapses.observe(table.rows.values.associateBy(StoredRow::key), now)
        val entries = lapses.present().mapNotNull { row ->
            decodeBackendServer(row.key, row.value)
                ?: null.also { log.write(PART, row.key, "entry not readable", "store", "rowVersion=${row.version}") }
        }
        if (entries == listedBackends) return
        explainBackends(listedBackends.orEmpty(), entries)
        listedBackends = entries
        outlets.onBackends(entries)
    }

    private fun explainBackends(
        before: List<BackendServerEntry>,
        after: List<BackendServerEntry>,
    ) {
        val known = before.associateBy { it.id }
        val listed = after.associateBy { it.id }
        known.keys.filter { it !in listed }.forEach { log.write(PART, it, "backend server gone", "store") }
        after.filter { known[it.id] != it }.forEach { entry ->
            val weights = entry.models.joinToString(",") { "${it.name}:${it.version}" }
            val inputs = "pool=${entry.pool} address=${entry.address} leaving=${entry.leaving} weights=$weights"
            log.write(PART, entry.id, "backend server listed", "store", inputs)
        }
    }

    private fun publishJobs(
        before: FollowedTable,
        after: FollowedTable,
    ) {
        // Rows that were read before the table was complete have not been handed on yet.
        val handedOn = if (before.version == null) emptyMap() else before.rows
        val changed = after.rows.values.filter { handedOn[it.partition to it.key]?.version != it.version }
        val removed = handedOn.values.filter { it.partition to it.key !in after.rows }
        val rows = changed.mapNotNull { row -> log.decodeJob(row)?.let { JobRow(row.key, it, row.version) } } +
            removed.map { JobRow(it.key, null, it.version) }
        if (rows.isNotEmpty()) outlets.onJobs(rows)
    }

    private fun tick() {
        val now = clock.readMilliseconds()
        tables.values.forEach { ask(it, now) }
        val servers = tables.getValue(PlatformTables.BACKEND_SERVERS)
        if (servers.version != null && lapses.hasLapsed(now)) publishBackends(servers, now)
    }

    private fun ask(
        table: FollowedTable,
        now: Long,
    ) {
        val (asking, call) = table.nextCall(now) ?: return
        tables = tables + (table.table to asking)
        when (call) {
            is FollowCall.Read -> store.readRows(call.range) {
                offer(FollowSignal.PageRead(table.table, call.question, it))
            }

            is FollowCall.Follow -> store.follow(call.feed) {
                offer(FollowSignal.FeedAnswered(table.table, call.question, it))
            }
        }
    }

    /** One call of each table is under way at most, so that the ring has room. */
    private fun offer(signal: FollowSignal) {
        if (!ring.offer(signal)) log.write(PART, "ring", "signal dropped")
    }

    private companion object {
        private const val PART = "follow"
        private const val RING_CAPACITY = 64
        private const val TICK_MILLISECONDS = 100L
        private const val STOP_MILLISECONDS = 300L
    }
}
