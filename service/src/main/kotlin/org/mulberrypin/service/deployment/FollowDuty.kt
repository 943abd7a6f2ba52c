package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.traffic.JobRow
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.PlatformTables
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.StoredRow
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

/**
 * Callbacks for the tables that the follow duty watches; called on its thread.
 *
 * @property onEvacuations receives all evacuated failure domains, the first time before the first configuration, and
 *   again from time to time, since a full ring may drop one of the calls
 */
internal data class FollowOutlets(
    val onEvacuations: (Set<String>) -> Unit,
    val onConfiguration: (ServingConfiguration) -> Unit,
    val onWeights: (List<NamedWeights>) -> Unit,
    val onBackends: (List<BackendServerEntry>) -> Unit,
    val onJobs: (List<JobRow>) -> Unit,
)

/**
 * The store's response to a call of the follow duty. The call number identifies the call, so that a late response to an
 * earlier call is ignored.
 */
internal sealed interface FollowSignal {
    data class PageRead(
        val table: String,
        val callNumber: Long,
        val outcome: Outcome<RowPage>,
    ) : FollowSignal

    data class FeedAnswered(
        val table: String,
        val callNumber: Long,
        val outcome: Outcome<FeedResult>,
    ) : FollowSignal
}

/** Watches the tables that operators, trainers, backend servers and other instances write, and publishes changes. */
internal class FollowDuty(
    private val store: RowStore,
    private val outlets: FollowOutlets,
    feedWaitMilliseconds: Long,
    private val clock: ServiceClock,
    private val log: DecisionLog,
) {
    private val ring: BoundedRing<FollowSignal> = boundedRing("follow", RING_CAPACITY)
    private var tables = listOf(
        FollowedTable(PlatformTables.OPERATOR, listOf(""), feedWaitMilliseconds),
        FollowedTable(PlatformTables.BACKEND_SERVERS, listOf(""), feedWaitMilliseconds),
        FollowedTable(StoreTables.JOBS, jobPartitions, feedWaitMilliseconds),
    ).associateBy { it.table }
    private var backendEntries = LapsedEntries()
    private var evacuationRows = EvacuationRows()
    private var nextEvacuationsMilliseconds = Long.MAX_VALUE
    private var configurationVersion = 0L
    private var listedServers = ListedServers()
    private var publishedBackends: List<BackendServerEntry>? = null
    private var thread: Duty? = null

    fun start(): FollowDuty {
        thread = startDuty("follow", ring, clock, TICK_INTERVAL_MILLISECONDS, ::handle, ::tick)
        return this
    }

    fun stop() {
        thread?.stop(STOP_TIMEOUT_MILLISECONDS)
    }

    /** Time since the last tick of the duty, in milliseconds; 0 before its start. */
    fun millisecondsSinceTick(): Long = thread?.millisecondsSinceTick() ?: 0

    private fun handle(signal: FollowSignal) {
        val now = clock.readMilliseconds()
        when (signal) {
            is FollowSignal.PageRead -> applyChange(
                signal.table,
                now,
            ) { it.applyPage(signal.callNumber, signal.outcome, now) }

            is FollowSignal.FeedAnswered -> applyChange(
                signal.table,
                now,
            ) { it.applyFeed(signal.callNumber, signal.outcome, now) }
        }
    }

    private fun applyChange(
        table: String,
        now: Long,
        change: (FollowedTable) -> FollowedTable,
    ) {
        val before = tables.getValue(table)
        val after = change(before)
        tables = tables + (table to after)
        logFeedState(before, after)
        if (table == PlatformTables.BACKEND_SERVERS) backendEntries = backendEntries.observeStore(before, after, now)
        if (after.version != null && (after.rows != before.rows || before.version == null)) publish(before, after, now)
        sendNextCall(after, now)
    }

    private fun logFeedState(
        before: FollowedTable,
        after: FollowedTable,
    ) {
        if (before.failures == 0 && after.failures > 0) {
            log.write(SOURCE, after.table, "store feed lost", "store", "version=${after.version}")
        }
        if (before.failures > 0 && after.failures == 0) {
            log.write(
                SOURCE,
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
        publishEvacuations(rows)
        val row = rows.firstOrNull { it.key == PlatformTables.CONFIGURATION_KEY }
        if (row != null && row.version > configurationVersion) {
            val configuration = decodeConfiguration(row.value)
            if (configuration == null) {
                log.write(SOURCE, "configuration", "not readable", "store", "rowVersion=${row.version}")
            } else {
                configurationVersion = row.version
                log.write(
                    SOURCE,
                    "configuration",
                    "in force",
                    "store",
                    "version=${configuration.version} rowVersion=${row.version}",
                )
                outlets.onConfiguration(configuration)
            }
        }
        val named = rows.filter { it.key.startsWith(PlatformTables.WEIGHTS_PREFIX) }
        outlets.onWeights(named.mapNotNull(::decodeWeights))
    }

    private fun publishEvacuations(rows: Collection<StoredRow>) {
        val before = evacuationRows.domains
        evacuationRows = evacuationRows.read(rows)
        evacuationRows.newlyUnreadable.forEach { row ->
            log.write(SOURCE, row.key, "evacuation names no failure domain", "store", "rowVersion=${row.version}")
        }
        if (evacuationRows.domains != before) announceEvacuations()
    }

    private fun announceEvacuations() {
        nextEvacuationsMilliseconds = clock.readMilliseconds() + EVACUATIONS_INTERVAL_MILLISECONDS
        outlets.onEvacuations(evacuationRows.domains)
    }

    private fun decodeWeights(row: StoredRow): NamedWeights? {
        val pair = decodeNamedWeights(row.value)
        if (pair == null) log.write(SOURCE, row.key, "named version not readable", "store", "rowVersion=${row.version}")
        return pair
    }

    private fun publishBackends(
        table: FollowedTable,
        now: Long,
    ) {
        backendEntries = backendEntries.update(table.rows.values.associateBy(StoredRow::key), now)
        listedServers = listedServers.read(backendEntries.usableRows())
        listedServers.newlyUnreadable.forEach { row ->
            log.write(SOURCE, row.key, "entry not readable", "store", "rowVersion=${row.version}")
        }
        val servers = listedServers.servers
        if (servers == publishedBackends) return
        logBackendChanges(publishedBackends.orEmpty(), servers)
        publishedBackends = servers
        outlets.onBackends(servers)
    }

    private fun logBackendChanges(
        before: List<BackendServerEntry>,
        after: List<BackendServerEntry>,
    ) {
        val previous = before.associateBy { it.id }
        val current = after.associateBy { it.id }
        val gone = previous.keys.filter { it !in current }
        val listed = after.filter { previous[it.id] != it }
        if (gone.size + listed.size > MAX_SINGLE_LINES) return logManyChanges(gone, listed)
        gone.forEach { log.write(SOURCE, it, "backend server gone", "store") }
        listed.forEach { entry ->
            val weights = entry.models.joinToString(",") { "${it.name}:${it.version}" }
            val inputs = "pool=${entry.pool} address=${entry.address} leaving=${entry.leaving} weights=$weights"
            log.write(SOURCE, entry.id, "backend server listed", "store", inputs)
        }
    }

    private fun logManyChanges(
        gone: List<String>,
        listed: List<BackendServerEntry>,
    ) {
        val goneInputs = boundedList(gone)
        if (gone.isNotEmpty()) log.write(SOURCE, "${gone.size} servers", "backend server gone", "store", goneInputs)
        if (listed.isEmpty()) return
        val inputs = boundedList(listed.map { "${it.id}/${it.pool}/${it.address}/leaving=${it.leaving}" })
        log.write(SOURCE, "${listed.size} servers", "backend server listed", "store", inputs)
    }

    private fun publishJobs(
        before: FollowedTable,
        after: FollowedTable,
    ) {
        // Rows read before the first scan was complete have not been published yet.
        val publishedRows = if (before.version == null) emptyMap() else before.rows
        val changed = after.rows.values.filter { publishedRows[it.partition to it.key]?.version != it.version }
        val removed = publishedRows.values.filter { it.partition to it.key !in after.rows }
        val rows = changed.mapNotNull { row -> log.decodeJob(row)?.let { JobRow(row.key, it, row.version) } } +
            removed.map { JobRow(it.key, null, it.version) }
        if (rows.isNotEmpty()) outlets.onJobs(rows)
    }

    private fun tick() {
        val now = clock.readMilliseconds()
        tables.values.forEach { sendNextCall(it, now) }
        if (now >= nextEvacuationsMilliseconds) announceEvacuations()
        val backendTable = tables.getValue(PlatformTables.BACKEND_SERVERS)
        if (backendTable.version != null && backendEntries.hasExpired(now)) publishBackends(backendTable, now)
    }

    private fun sendNextCall(
        table: FollowedTable,
        now: Long,
    ) {
        val (updated, call) = table.nextCall(now) ?: return
        tables = tables + (table.table to updated)
        when (call) {
            is FollowCall.Read -> store.readRows(call.range) {
                offer(FollowSignal.PageRead(table.table, call.callNumber, it))
            }

            is FollowCall.Follow -> store.pollFeed(call.feed) {
                offer(FollowSignal.FeedAnswered(table.table, call.callNumber, it))
            }
        }
    }

    /** The ring cannot overflow in normal operation, since each table has at most one call in flight. */
    private fun offer(signal: FollowSignal) {
        if (!ring.offer(signal)) log.write(SOURCE, "ring", "signal dropped")
    }

    private companion object {
        private const val SOURCE = "follow"
        private const val RING_CAPACITY = 64
        private const val TICK_INTERVAL_MILLISECONDS = 100L

        /** Interval between repeated announcements of the evacuations, in milliseconds, once there has been one. */
        private const val EVACUATIONS_INTERVAL_MILLISECONDS = 1_000L

        /** Number of changed backend servers up to which each has a log line of its own. */
        private const val MAX_SINGLE_LINES = 2
        private const val STOP_TIMEOUT_MILLISECONDS = 300L
    }
}
