package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.capacity.CapacityMode
import org.mulberrypin.decisions.instances.HeartbeatCadence
import org.mulberrypin.decisions.instances.LIKELY_OWNERS
import org.mulberrypin.decisions.instances.MIN_HEARTBEAT_INTERVAL_MILLISECONDS
import org.mulberrypin.decisions.instances.isLikelyOwner
import org.mulberrypin.decisions.instances.unwatchedCadence
import org.mulberrypin.decisions.instances.watchedCadence
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.decisions.leases.LeaseEvent
import org.mulberrypin.decisions.leases.LeaseParameters
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
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.WeightOrder
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.Duty
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.CrashRecord
import org.mulberrypin.schema.generated.InstanceHeartbeat
import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.NamedWeights
import org.mulberrypin.schema.generated.ServingPool

/**
 * Dependencies of the control duty.
 *
 * @property runsJobs whether this instance runs batch jobs
 * @property onInstances called on the control thread with the live instances whenever their list changes
 * @property onCrashRecords called on the control thread whenever the crash records of the other instances change
 * @property capacityMode what is ordered where the settings list the duty
 * @property onDivisions called on the control thread with the shares of the models, by pool, whenever they change
 */
internal data class ControlPorts(
    val store: RowStore,
    val backends: BackendCalls,
    val clock: ServiceClock,
    val log: DecisionLog,
    val runsJobs: () -> Boolean,
    val onInstances: (List<LiveInstance>) -> Unit,
    val capacityMode: CapacityMode,
    val divisionGauges: DivisionGauges,
    val onDivisions: (Map<String, Map<String, Int>>) -> Unit,
    val onCrashRecords: (List<CrashRecord>) -> Unit,
)

/**
 * Writes this instance's heartbeats and contends for the lease of the singleton duties, which are ordering weight
 * versions and reporting usage. The instance performs these duties only while it holds the lease.
 */
internal class ControlDuty(
    private val identity: InstanceIdentity,
    private val settings: DeploymentSettings,
    private val ports: ControlPorts,
) {
    private val ring: BoundedRing<ControlSignal> = boundedRing("control", RING_CAPACITY)
    private val leaseManager = LeaseManager(leaseParameters(identity, settings), ports.store, ports.clock, ports.log) {
        offer(ControlSignal.Lease(it))
    }
    private val usageManager = UsageManager(
        identity,
        settings.usageWindowMilliseconds,
        UsagePorts(
            ports.store,
            ports.backends,
            ports.clock,
            ports.log,
            ::currentHold,
        ) { offer(ControlSignal.Usage(it)) },
    )
    private val instanceReader = InstanceReader(
        identity.name,
        InstanceReaderPorts(
            ports.store,
            ports.log,
            ::offer,
            onHeartbeats = { divisionManager.readDemand(it) },
            onInstances = ::handleInstances,
            onCrashRecords = ports.onCrashRecords,
        ),
    )
    private val divisionManager = DivisionManager(
        DivisionPorts(
            ports.store,
            ports.clock,
            ports.log,
            ::currentHold,
            { offer(ControlSignal.Division(it)) },
            ::handleDivisions,
            ports.divisionGauges,
        ),
    )
    private val supplyManager = SupplyManager(
        identity.name,
        if (settings.supplyAddress == null) CapacityMode.OFF else ports.capacityMode,
        SupplyPorts(
            ports.backends,
            ports.clock,
            ports.log,
            ::currentHold,
            { offer(ControlSignal.Supply(it)) },
            ports.divisionGauges.showCapacity,
        ),
    )
    private var weightState = WeightState()
    private var pools = emptyList<ServingPool>()
    private var engines = emptyList<BackendServerEntry>()
    private var namedWeights = emptyList<NamedWeights>()
    private var evacuatedDomains = emptySet<String>()
    private var statedDemands = emptyList<ModelDemand>()
    private var announcedCrashes = emptyList<CrashRecord>()
    private var models = setOf(NO_MODEL)
    private var isLikelyOwner = true
    private var heartbeatCount = 0L
    private var isLeaving = false
    private var nextHeartbeatMilliseconds = Long.MIN_VALUE
    private var lastReadMilliseconds: Long? = null
    private var nextUsageWriteMilliseconds = 0L
    private var thread: Duty? = null

    fun start(): ControlDuty {
        thread = startDuty("control", ring, ports.clock, TICK_INTERVAL_MILLISECONDS, ::handle, ::tick)
        return this
    }

    fun stop() {
        thread?.stop(STOP_TIMEOUT_MILLISECONDS)
    }

    /** Queues a signal for the control thread; logs and drops it when the ring is full. */
    fun offer(signal: ControlSignal) {
        if (!ring.offer(signal)) {
            ports.log.write(SOURCE, "ring", "signal dropped", identity.name, signal.javaClass.simpleName)
        }
    }

    /** Counts a request of [team] that started now. */
    fun countUsage(team: String) =
        offer(ControlSignal.Usage(UsageEvent.Counted(team, ports.clock.readWallMilliseconds())))

    private fun currentHold(): HeldLease? = if (isLeaving) null else leaseManager.holdFor(MAX_CALL_MILLISECONDS)

    private fun handle(signal: ControlSignal) {
        when (signal) {
            is ControlSignal.Lease -> leaseManager.handle(signal.event)
            is ControlSignal.Weights -> handleWeightEvent(signal.event)
            is ControlSignal.Usage -> usageManager.handle(signal.event)
            is ControlSignal.InstancesRead -> instanceReader.handlePage(signal.callNumber, signal.outcome, readClock())
            is ControlSignal.InstancesChanged -> handleInstancesChanged(signal)
            is ControlSignal.ListsChanged -> handleListsChanged(signal)
            is ControlSignal.DemandStated -> statedDemands = signal.demands
            is ControlSignal.Supply -> supplyManager.handle(signal.event)
            is ControlSignal.Division -> divisionManager.handle(signal.event)
            is ControlSignal.CrashesAnnounced -> announceCrashes(signal.records)
            ControlSignal.DrainStarted -> startDrain()
        }
    }

    private fun tick() {
        leaseManager.handle(LeaseEvent.Tick)
        divisionManager.tick(runsJobs = statedDemands.isNotEmpty())
        supplyManager.tick(divisionManager.demand)
        handleWeightEvent(if (currentHold() == null) WeightEvent.LeaseLost else WeightEvent.Tick)
        val now = readClock()
        keepInTouch(now)
        if (now >= nextUsageWriteMilliseconds) {
            nextUsageWriteMilliseconds = now + USAGE_WRITE_INTERVAL_MILLISECONDS
            usageManager.handle(UsageEvent.Tick(ports.clock.readWallMilliseconds(), currentHold() != null))
        }
    }

    private fun readClock(): Long = ports.clock.readMilliseconds()

    private fun keepInTouch(nowMilliseconds: Long) {
        val cadence = cadence()
        if (nowMilliseconds >= nextHeartbeatMilliseconds) {
            nextHeartbeatMilliseconds = nowMilliseconds + cadence.writeMilliseconds
            writeHeartbeat(cadence.writeMilliseconds)
        }
        // A heartbeat promises when the next one comes, so a longer interval starts with the next heartbeat.
        nextHeartbeatMilliseconds = minOf(nextHeartbeatMilliseconds, nowMilliseconds + cadence.writeMilliseconds)
        val lastRead = lastReadMilliseconds
        if (lastRead == null || nowMilliseconds - lastRead >= cadence.readMilliseconds) {
            lastReadMilliseconds = nowMilliseconds
            instanceReader.read(nowMilliseconds)
        }
    }

    private fun cadence(): HeartbeatCadence =
        if (isLikelyOwner || ports.runsJobs() || currentHold() != null) {
            watchedCadence(models.size * LIKELY_OWNERS)
        } else {
            unwatchedCadence(instanceReader.live.size, feedWaitMilliseconds(settings.contactMilliseconds))
        }

    /** Writes the next heartbeat soon, since servers that run these contents may crash meanwhile. */
    private fun announceCrashes(records: List<CrashRecord>) {
        announcedCrashes = records
        nextHeartbeatMilliseconds =
            minOf(nextHeartbeatMilliseconds, readClock() + MIN_HEARTBEAT_INTERVAL_MILLISECONDS / 2)
    }

    private fun handleInstancesChanged(signal: ControlSignal.InstancesChanged) =
        instanceReader.handleChanges(signal.callNumber, signal.outcome, readClock())

    private fun handleInstances(live: List<LiveInstance>) {
        updateOwnership()
        leaseManager.handle(LeaseEvent.ContendersCounted(live.size))
        ports.onInstances(live)
    }

    private fun updateOwnership() {
        isLikelyOwner = isLikelyOwner(identity.name, models, instanceReader.live)
    }

    private fun startDrain() {
        isLeaving = true
        leaseManager.handle(LeaseEvent.Release)
        writeHeartbeat(MIN_HEARTBEAT_INTERVAL_MILLISECONDS)
    }

    private fun writeHeartbeat(intervalMilliseconds: Long) {
        heartbeatCount++
        val heartbeat = InstanceHeartbeat(
            name = identity.name,
            incarnation = identity.incarnation,
            failureDomain = identity.failureDomain,
            sequence = heartbeatCount,
            leaving = isLeaving,
            capacity = identity.capacity,
            crashRecords = announcedCrashes,
            intervalMilliseconds = intervalMilliseconds,
            demands = statedDemands,
        )
        val value = recordJson.encodeToString(InstanceHeartbeat.serializer(), heartbeat)
        val row = RowWrite(StoreTables.INSTANCES, "", identity.name, value)
        ports.store.transact(RowTransaction(writes = listOf(row))) { outcome ->
            if (outcome is Outcome.Failure) {
                ports.log.write(SOURCE, identity.name, "heartbeat not written", "store", outcome.fault.toString())
            }
        }
    }

    private fun handleListsChanged(signal: ControlSignal.ListsChanged) {
        pools = signal.pools ?: pools
        engines = signal.backends ?: engines
        namedWeights = signal.namedWeights ?: namedWeights
        evacuatedDomains = signal.evacuatedDomains ?: evacuatedDomains
        models = pools.flatMapTo(mutableSetOf(NO_MODEL)) { pool -> pool.models }
        updateOwnership()
        divisionManager.updateLists(pools, admittedEngines())
        supplyManager.updateLists(pools, engines)
        updateWeights()
    }

    private fun admittedEngines() = engines.filter { it.failureDomain !in evacuatedDomains }

    private fun handleDivisions(shares: Map<String, Map<String, Int>>) {
        updateWeights()
        ports.onDivisions(shares)
    }

    private fun updateWeights() {
        val shares = divisionManager.shares
        val admitted = admittedEngines()
        val enginePools = pools
            .filter { it.models.isNotEmpty() }
            .map { pool ->
                EnginePool(pool.models, admitted.filter { it.pool == pool.name }, shares[pool.name].orEmpty())
            }
        handleWeightEvent(WeightEvent.ListsChanged(namedWeights.associate { it.model to it.version }, enginePools))
        if (currentHold() != null) handleWeightEvent(WeightEvent.Tick)
    }

    private fun handleWeightEvent(event: WeightEvent) {
        val transition = decideWeights(weightState, event, ports.clock.readMilliseconds())
        weightState = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: WeightEffect) {
        when (effect) {
            is WeightEffect.Explain -> ports.log.write(
                SOURCE,
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
        ports.backends.fetchReport(engine.address, engine.id) { outcome ->
            val event = when (outcome) {
                is Outcome.Success -> WeightEvent.ReportRead(engine.id, outcome.value)
                is Outcome.Failure -> WeightEvent.StepFailed(engine.id, outcome.fault.toString())
            }
            offer(ControlSignal.Weights(event))
        }

    private fun order(effect: WeightEffect.Order) {
        val hold = currentHold() ?: return
        val order = WeightOrder(
            address = effect.engine.address,
            serverId = effect.engine.id,
            model = effect.model,
            version = effect.version,
            holder = identity.name,
            fencingNumber = hold.fencingNumber,
            acceptedOrders = effect.acceptedOrders,
        )
        ports.backends.sendOrder(order) { outcome ->
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
        private const val SOURCE = "control"
        private const val RING_CAPACITY = 4_096
        private const val TICK_INTERVAL_MILLISECONDS = 250L
        private const val STOP_TIMEOUT_MILLISECONDS = 300L

        /** Model of the jobs that name none. */
        private const val NO_MODEL = ""

        /** Interval between writes of usage counts, in milliseconds; a crash loses at most this much usage. */
        private const val USAGE_WRITE_INTERVAL_MILLISECONDS = 1_000L

        /** Longest duration of a weight order or an engine report call, in milliseconds. */
        private const val MAX_CALL_MILLISECONDS = 800L
        private val acceptedAnswers = setOf(OrderAnswer.ACCEPTED, OrderAnswer.DONE)
    }
}

private fun leaseParameters(
    identity: InstanceIdentity,
    settings: DeploymentSettings,
): LeaseParameters =
    LeaseParameters(
        name = "control",
        candidate = identity.name,
        incarnation = identity.incarnation,
        durationMilliseconds = settings.leaseMilliseconds,
        renewalMilliseconds = settings.leaseMilliseconds / RENEWALS_PER_LEASE,
        clockRateBound = CLOCK_RATE_BOUND,
        responseTimeoutMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS,
        acquisitionDelayMilliseconds = Math
            .floorMod(
                identity.name.hashCode(),
                CONTENTION_DELAY_RANGE_MILLISECONDS,
            ).toLong(),
        phaseMilliseconds = Math.floorMod(identity.name.hashCode().toLong(), settings.leaseMilliseconds),
    )

/** Renewals per lease duration; the lease survives a lost renewal. */
private const val RENEWALS_PER_LEASE = 4

/** Largest relative difference between the rates of two clocks; far above the drift of quartz clocks. */
private const val CLOCK_RATE_BOUND = 0.01

/** Time after which the store's response counts as lost, in milliseconds. */
private const val RESPONSE_TIMEOUT_MILLISECONDS = 1_000L

/**
 * Upper bound, in milliseconds, of the delay before an instance tries to acquire a free lease. The delay is derived
 * from the instance's name, so that instances do not all try at once.
 */
private const val CONTENTION_DELAY_RANGE_MILLISECONDS = 400
