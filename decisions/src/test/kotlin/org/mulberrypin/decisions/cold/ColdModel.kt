/** A model of instances, a store and engines, whose clock and faults a test drives. */
package org.mulberrypin.decisions.cold

import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.ColdShares
import org.mulberrypin.schema.generated.ServingPool

/** A request under way: it leaves its process at [leavesMilliseconds], or later if the process is frozen then. */
private data class ModelSend(
    val server: String,
    val leavesMilliseconds: Long,
)

private class ModelInstance(
    val name: String,
    var state: ColdServers,
) {
    var isFrozen = false
    var isCut = false
    var hasList = false
    var clockOffsetMilliseconds = 0L
    val leaving = ArrayList<ModelSend>()
}

/** Each instance sends as much as it may to every engine that it knows of, at every step of the clock. */
internal class ColdModel(
    private val pool: ServingPool,
) {
    private val limits = ColdLimits(1.5, 5.0)
    private var now = 100_000L
    private val listed = ArrayList<BackendServerEntry>()
    private val rows = HashMap<String, ColdShares>()
    private val late = ArrayList<() -> Unit>()
    private val arrivals = HashMap<String, ArrayList<Long>>()
    private val instances = (0..4).map { ModelInstance("entry-$it", started()) }
    private var losesAnswers = false
    private var executesLate = false

    fun apply(step: ColdStep) {
        val instance = instances[step.instance]
        when (step.kind) {
            ColdStepKind.ADVANCE -> advance(step.milliseconds)
            ColdStepKind.START_SERVER -> startServer()
            ColdStepKind.LIST -> list(instance)
            ColdStepKind.CUT -> instance.isCut = true
            ColdStepKind.HEAL -> instance.isCut = false
            ColdStepKind.FREEZE -> instance.isFrozen = true
            ColdStepKind.WAKE -> instance.isFrozen = false
            ColdStepKind.PAUSE -> pause(instance, step.milliseconds)
            ColdStepKind.KILL -> kill(instance, step.milliseconds)
            ColdStepKind.RESTART -> restart(instance, step.milliseconds)
            ColdStepKind.CLAIM_LATE -> executesLate = !executesLate
            ColdStepKind.CLAIM_LOST -> losesAnswers = !losesAnswers
        }
    }

    /** How far the requests that arrived at an engine in any second of its cold time exceed the budget. */
    fun largestExcess(): Int =
        arrivals.values.maxOfOrNull { times -> largestSecond(times) - limits.budgetOf(pool) } ?: 0

    private fun largestSecond(times: List<Long>): Int =
        times.maxOf { start -> times.count { it in start until start + 1_000 } }

    fun coldArrivals(): Int = arrivals.values.sumOf { it.size }

    private fun startServer() {
        listed += BackendServerEntry("engine-${listed.size}", "engines", startedWallMilliseconds = now)
    }

    private fun started() = ColdServers(limits).withPools(listOf(pool))

    private fun pause(
        instance: ModelInstance,
        milliseconds: Int,
    ) {
        instance.isFrozen = true
        repeat(8) { advance(milliseconds) }
        instance.isFrozen = false
        advance(1)
    }

    private fun restart(
        instance: ModelInstance,
        milliseconds: Int,
    ) {
        kill(instance, milliseconds)
        list(instance)
        advance(1)
    }

    private fun kill(
        instance: ModelInstance,
        milliseconds: Int,
    ) {
        instance.state = started()
        instance.isFrozen = false
        instance.hasList = false
        instance.leaving.clear()
        instance.clockOffsetMilliseconds = (milliseconds - 200) * 20L
    }

    private fun list(instance: ModelInstance) {
        if (instance.isFrozen || instance.isCut) return
        val wall = now + instance.clockOffsetMilliseconds
        instance.state = instance.state.withEntries(listed, !instance.hasList, now, wall)
        instance.hasList = true
    }

    private fun advance(milliseconds: Int) {
        now += milliseconds
        if (late.size > 2) late.removeAt(0)()
        instances.filter { !it.isFrozen }.forEach { instance ->
            // What was decided before a pause leaves first.
            instance.leaving.filter { it.leavesMilliseconds <= now }.forEach { arrive(it) }
            instance.leaving.removeIf { it.leavesMilliseconds <= now }
            instance.state = instance.state.withTick(now)
            instance.state.dueClaims(setOf("engines"), now).forEach { claim(instance, it) }
            listed.forEach { send(instance, it, milliseconds) }
        }
    }

    private fun send(
        instance: ModelInstance,
        server: BackendServerEntry,
        milliseconds: Int,
    ) {
        if (server.id !in instance.state.servers || now - server.startedWallMilliseconds > pool.coldMilliseconds) return
        repeat(30) { index ->
            if (instance.state.maySend(server.id, now)) {
                instance.state = instance.state.withSend(server.id, now)
                val send = ModelSend(server.id, now + (index * milliseconds) % 450)
                if (send.leavesMilliseconds == now) arrive(send) else instance.leaving += send
            }
        }
    }

    private fun arrive(send: ModelSend) {
        val server = listed.first { it.id == send.server }
        if (now - server.startedWallMilliseconds < pool.coldMilliseconds) {
            arrivals.getOrPut(send.server, ::ArrayList) += now
        }
    }

    private fun claim(
        instance: ModelInstance,
        server: ColdServer,
    ) {
        instance.state = instance.state.withClaim(server, now)
        val id = server.entry.id
        val claiming = instance.state
        val execute = { decideClaim(instance, id, rows[id]) }
        val outcome = when {
            instance.isCut -> ColdClaimOutcome.Unknown("cut off")
            executesLate -> ColdClaimOutcome.Unknown("late").also { late += { execute() } }
            else -> execute().let { if (losesAnswers) ColdClaimOutcome.Unknown("lost") else it }
        }
        instance.state = claiming.withClaimOutcome(id, server.entry.startedWallMilliseconds, outcome, now)
    }

    private fun decideClaim(
        instance: ModelInstance,
        id: String,
        row: ColdShares?,
    ): ColdClaimOutcome =
        when (val step = claimColdShare(row, instance.name, limits.budgetOf(pool))) {
            is ColdClaimStep.Decided -> {
                step.outcome
            }

            is ColdClaimStep.Write -> {
                rows[id] = step.row
                step.outcome
            }
        }
}
