package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.instances.InstanceWatch
import org.mulberrypin.decisions.instances.heartbeatMilliseconds
import org.mulberrypin.decisions.instances.liveInstances
import org.mulberrypin.decisions.instances.read
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseHold
import org.mulberrypin.decisions.leases.LeaseTerms
import org.mulberrypin.decisions.traffic.InstanceIdentity
import org.mulberrypin.decisions.traffic.LiveInstance
import org.mulberrypin.decisions.weights.EnginePool
import org.mulberrypin.decisions.weights.WeightEffect
import org.mulberrypin.decisions.weights.WeightEvent
import org.mulberrypin.decisions.weights.WeightState
import org.mulberrypin.decisions.weights.decideWeights
import org.mulberrypin.decisions.windows.UsageEvent
import org.mulberrypin.platform.deployment.BackendCalls
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.OrderAnswer
import org.mulberrypin.platform.deployment.RowRange
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.WeightOrder
import org.mulberrypin.platform.deployment.readAllRows
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.InstanceHeartbeat
import org.mulberrypin.schema.generated.NamedWeights
import org.mulberrypin.schema.generated.ServingPool

/** What the control duty needs from outside. */
internal data class ControlPorts(
    val store: RowStore,
    val backends: BackendCalls,
    val clock: ServiceClock,
    val log: DecisionLog,
    val onInstances: (List<LiveInstance>) -> Unit,
)

/** Keeps the heartbeat, the lease of the singleton duties, and those duties while this instance holds it. */
internal class ControlDuty(
    private val identity: InstanceIdentity,
    settings: DeploymentSettings,
    private val ports: ControlPorts,
) {
    private val ring: BoundedRing<ControlSignal> = boundedRing("control", RING_CAPACITY)
    private val lease = LeaseKeeper(leaseTerms(identity, settings), ports.store, ports.clock, ports.log) {
        offer(ControlSignal.Lease(it))
    }
    private val usage = UsageKeeper(
        identity,
        settings.usageWindowMilliseconds,
        UsagePorts(ports.store, ports.backends, ports.clock, ports.log, ::hold) { offer(ControlSignal.Usage(it)) },
    )
    private var weights = WeightState()
    private var watch = InstanceWatch()
    private var pools = emptyList<ServingPool>()
    private var engines = emptyList<BackendServerEntry>()
    private var named = emptyList<NamedWeights>()
    private var heartbeats = 0L
    private var isLeaving = false
    private var nextHeartbeatMilliseconds = 0L
    private var nextUsageMilliseconds = 0L
    private var duty: Duty? = null

    fun start(): ControlDuty {
        duty = startDuty("control", ring, ports.clock, TICK_MILLISECONDS, ::handle, ::tick)
        return this
    }

    fun stop() {
        duty?.stop(STOP_MILLISECONDS)
    }

    /** Hands a signal to the duty. */
    fun offer(signal: ControlSignal) {
        if (!ring.offer(signal)) {
            ports.log.write(PART, "ring", "signal dropped", identity.name, signal.javaClass.simpleName)
        }
    }

    /** Counts a request that began now. */
    fun countUsage(team: String) =
        offer(ControlSignal.Usage(UsageEvent.Counted(team, ports.clock.readWallMilliseconds())))

    private fun hold(): LeaseHold? = if (isLeaving) null else lease.holdFor(LONGEST_CALL_MILLISECONDS)

    private fun handle(signal: ControlSignal) {
        when (signal) {
            is ControlSignal.Lease -> lease.handle(signal.event)
            is ControlSignal.Weights -> decide(signal.event)
            is ControlSignal.Usage -> usage.handle(signal.event)
            is ControlSignal.InstancesRead -> acceptInstances(signal.outcome)
            is ControlSignal.ListsChanged -> acceptLists(signal)
            ControlSignal.DrainStarted -> leave()
        }
    }

    private fun tick() {
        lease.handle(LeaseEvent.Tick)
        decide(if (hold() == null) WeightEvent.DutyLost else WeightEvent.Ticked)
        val now = ports.clock.readMilliseconds()
        if (now >= nextHeartbeatMilliseconds) {
            nextHeartbeatMilliseconds = now + heartbeatMilliseconds(watch.liveInstances().size)
            beat()
            readInstances()
        }
        if (now >= nextUsageMilliseconds) {
            nextUsageMilliseconds = now + USAGE_MILLISECONDS
            usage.handle(UsageEvent.Ticked(ports.clock.readWallMilliseconds(), hold() != null))
        }
    }

    private fun leave() {
        isLeaving = true
        lease.handle(LeaseEvent.Release)
        beat()
    }

    private fun beat() {
        heartbeats++
        val heartbeat = InstanceHeartbeat(
            name = identity.name,
            incarnation = identity.incarnation,
            failureDomain = identity.failureDomain,
            sequence = heartbeats,
            leaving = isLeaving,
        )
        val value = recordJson.encodeToString(InstanceHeartbeat.serializer(), heartbeat)
        val row = RowWrite(StoreTables.INSTANCES, "", identity.name, value)
        ports.store.transact(RowTransaction(writes = listOf(row))) { outcome ->
            if (outcome is Outcome.Failure) {
                ports.log.write(PART, identity.name, "heartbeat not written", "store", outcome.fault.toString())
            }
        }
    }

    private fun readInstances() =
        ports.store.readAllRows(RowRange(StoreTables.INSTANCES, "")) { offer(ControlSignal.InstancesRead(it)) }

    private fun acceptInstances(outcome: Outcome<List<StoredRow>>) {
        if (outcome is Outcome.Failure) {
            ports.log.write(PART, identity.name, "instances not read", "store", outcome.fault.toString())
        }
        if (outcome !is Outcome.Success) return
        val before = watch.liveInstances().map { LiveInstance(it.name, it.incarnation) }
        watch = watch.read(outcome.value.mapNotNull { ports.log.decodeRecord(it, InstanceHeartbeat.serializer()) })
        val live = watch.liveInstances().map { LiveInstance(it.name, it.incarnation) }
        if (live.toSet() == before.toSet()) return
        (live - before.toSet()).forEach { ports.log.write(PART, it.name, "instance alive", "store", "$it") }
        (before - live.toSet()).forEach { ports.log.write(PART, it.name, "instance gone", "store", "$it") }
        ports.onInstances(live)
    }

    private fun acceptLists(signal: ControlSignal.ListsChanged) {
        pools = signal.pools ?: pools
        engines = signal.backends ?: engines
        named = signal.named ?: named
        val enginePools = pools
            .filter { it.models.isNotEmpty() }
            .map { pool -> EnginePool(pool.models, engines.filter { it.pool == pool.name }) }
        decide(WeightEvent.ListsChanged(named.associate { it.model to it.version }, enginePools))
        if (hold() != null) decide(WeightEvent.Ticked)
    }

    private fun decide(event: WeightEvent) {
        val transition = decideWeights(weights, event, ports.clock.readMilliseconds())
        weights = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: WeightEffect) {
        when (effect) {
            is WeightEffect.Explain -> ports.log.write(
                PART,
                effect.engine,
                effect.decision,
                effect.engine,
                effect.inputs,
            )

            is WeightEffect.ReadReport -> readReport(effect.engine)

            is WeightEffect.Order -> order(effect)
        }
    }

    private fun readReport(engine: BackendServerEntry) =
        ports.backends.report(engine.address, engine.id) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> WeightEvent.ReportRead(engine.id, outcome.value)
                is Outcome.Failure -> WeightEvent.StepFailed(engine.id, outcome.fault.toString())
            }
            offer(ControlSignal.Weights(event))
        }

    private fun order(effect: WeightEffect.Order) {
        val hold = hold() ?: return
        val order = WeightOrder(
            address = effect.engine.address,
            serverId = effect.engine.id,
            model = effect.model,
            version = effect.version,
            holder = identity.name,
            fencingNumber = hold.fencingNumber,
            acceptedOrders = effect.acceptedOrders,
        )
        ports.backends.order(order) { outcome ->
            val isAccepted = outcome is Outcome.Success && outcome.value in acceptedAnswers
            val event = if (isAccepted) {
                WeightEvent.OrderAccepted(effect.engine.id)
            } else {
                WeightEvent.StepFailed(effect.engine.id, outcome.toString())
            }
            offer(ControlSignal.Weights(event))
        }
    }

    private companion object {
        private const val PART = "control"
        private const val RING_CAPACITY = 4_096
        private const val TICK_MILLISECONDS = 250L
        private const val STOP_MILLISECONDS = 300L

        /** Time between two writes of usage counts, in milliseconds: what the end of a process may lose of them. */
        private const val USAGE_MILLISECONDS = 1_000L

        /** Longest time that an order or a report is under way, in milliseconds. */
        private const val LONGEST_CALL_MILLISECONDS = 800L
        private val acceptedAnswers = setOf(OrderAnswer.ACCEPTED, OrderAnswer.DONE)
    }
}

private fun leaseTerms(
    identity: InstanceIdentity,
    settings: DeploymentSettings,
): LeaseTerms =
    LeaseTerms(
        name = "control",
        candidate = identity.name,
        incarnation = identity.incarnation,
        durationMilliseconds = settings.leaseMilliseconds,
        renewalMilliseconds = settings.leaseMilliseconds / RENEWALS,
        clockRateBound = CLOCK_RATE_BOUND,
        answerMilliseconds = ANSWER_MILLISECONDS,
        contentionMilliseconds = Math.floorMod(identity.name.hashCode(), CONTENTION_MILLISECONDS).toLong(),
    )

/** Renewals within the duration of a lease, so that one may be lost. */
private const val RENEWALS = 4

/** Largest relative difference between the rates of two clocks; far above what quartz clocks show. */
private const val CLOCK_RATE_BOUND = 0.01

/** Time after which the store's answer counts as lost, in milliseconds. */
private const val ANSWER_MILLISECONDS = 1_000L

/** Range of the waits before instances try to take a free lease, in milliseconds. */
private const val CONTENTION_MILLISECONDS = 400
