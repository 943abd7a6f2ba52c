/**
 * Simulates instances, a table service and operators in virtual time; a seed determines all delays and failures. Only
 * the decision logic is production code. The guarantees of configuration distribution are checked after every event.
 */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Team
import org.mulberrypin.schema.generated.VersionConfirmation
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * An instance whose clock differs from the virtual time in rate and origin.
 *
 * @property clockRate seconds of the local clock per second of virtual time
 */
internal class SimulatedInstance(
    val name: String,
    val clockRate: Double,
    val clockOriginMilliseconds: Long,
) {
    var state = ConfigurationState(name, 1, testLimits)
    var storeReachable = true
    var partition = 0

    fun localMilliseconds(now: Long): Long = clockOriginMilliseconds + (now * clockRate).toLong()

    fun permitsServing(now: Long): Boolean = state.evidence.permitsServing(testLimits, localMilliseconds(now))
}

internal val testLimits = ConfigurationTimeLimits(500, 5_000, 60_000, 0.01)

internal class ConfigurationSimulation(
    seed: Long,
    size: Int,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val history = mutableListOf<AcceptedPatch>()
    private val acceptances = mutableListOf<Pair<Long, Long>>()
    private val pendingCalls = HashMap<Long, (VersionConfirmation) -> Unit>()

    /** Virtual time in milliseconds. */
    private var now = 0L
    private var storeAvailable = true
    private var nextNumber = 0L
    private val instances = List(size) { index ->
        SimulatedInstance("instance-$index", 0.995 + random.nextDouble() / 100, random.nextLong(100_000))
    }
    var acceptedCount = 0
    var servedWithoutStore = 0
    var refusedChecks = 0

    fun run(milliseconds: Long) {
        val entries = instances.map { InstanceEntry(name = it.name, peerAddress = it.name) }
        instances.forEach { handle(it, ConfigurationEvent.MembersChanged(entries)) }
        every(100) { instances.forEach { handle(it, ConfigurationEvent.Tick) } }
        every(700) { repeat(random.nextInt(3)) { submit() } }
        every(1_500) { if (random.nextInt(3) == 0) toggleFault() }
        while (queue.isNotEmpty() && queue.peek().first <= milliseconds) {
            val (time, action) = queue.poll()
            now = time
            action()
            instances.forEach(::check)
        }
    }

    private fun check(instance: SimulatedInstance) {
        if (!instance.permitsServing(now)) {
            refusedChecks++
            return
        }
        val requiredVersion = acceptances
            .filter { it.first + testLimits.forceMilliseconds < now }
            .maxOfOrNull { it.second } ?: 0
        check(instance.state.version >= requiredVersion) {
            "${instance.name} serves under ${instance.state.version} at $now ms; expected $requiredVersion or newer"
        }
        val lastRead = instance.state.evidence.storeReadMilliseconds ?: 0
        if (instance.localMilliseconds(now) - lastRead > testLimits.maximumEvidenceAgeMilliseconds) servedWithoutStore++
    }

    private fun toggleFault() {
        val instance = instances.random(random)
        when (random.nextInt(8)) {
            0 -> storeAvailable = !storeAvailable
            1 -> storeAvailable = true
            2, 3 -> instance.storeReachable = !instance.storeReachable
            4 -> instances.forEach { it.partition = random.nextInt(2) }
            5 -> instances.forEach { it.partition = 0 }
            6 -> instances.forEach { it.storeReachable = true }
            else -> restart(instance)
        }
    }

    private fun restart(instance: SimulatedInstance) {
        instance.state = ConfigurationState(instance.name, instance.state.incarnation + 1, testLimits)
        val entries = instances.map { InstanceEntry(name = it.name, peerAddress = it.name) }
        handle(instance, ConfigurationEvent.MembersChanged(entries))
    }

    private fun submit() {
        val instance = instances.random(random)
        val expected = if (random.nextBoolean()) instance.state.version else history.size.toLong()
        val team = Team(name = "team-${random.nextInt(5)}", weight = 1.0 + random.nextInt(100))
        val change = ConfigurationChange(subject = ChangeSubject.TEAM, name = team.name, team = team)
        val patch = ConfigurationPatch(expected, "operator", "test ${nextNumber++}", listOf(change))
        handle(instance, ConfigurationEvent.PatchSubmitted(nextNumber++, patch, now))
    }

    private fun handle(
        instance: SimulatedInstance,
        event: ConfigurationEvent,
    ) {
        val version = instance.state.version
        val transition = decideConfiguration(instance.state, event, instance.localMilliseconds(now))
        check(transition.state.version >= version) { "${instance.name} reverted to a version older than $version" }
        instance.state = transition.state
        transition.effects.forEach { perform(instance, it) }
    }

    private fun perform(
        instance: SimulatedInstance,
        effect: ConfigurationEffect,
    ) {
        when (effect) {
            is ConfigurationEffect.ApplyConfiguration -> checkHistory(effect.configuration)

            is ConfigurationEffect.ReadStore -> read(instance, effect.version)

            is ConfigurationEffect.Commit -> commit(instance, effect)

            is ConfigurationEffect.WriteSnapshot -> checkHistory(effect.configuration)

            is ConfigurationEffect.Announce -> announce(instance, effect)

            is ConfigurationEffect.AnswerAnnouncement -> pendingCalls.remove(effect.callNumber)?.invoke(
                effect.confirmation,
            )

            is ConfigurationEffect.AnswerOperator -> recordResult(effect.result)
        }
    }

    private fun checkHistory(configuration: Configuration) {
        check(configuration == configurationAt(configuration.version)) {
            "Version ${configuration.version} differs from the committed history"
        }
    }

    private fun recordResult(result: SubmissionResult) {
        if (result is SubmissionResult.Accepted) {
            acceptedCount++
            check(result.version <= history.size) {
                "Accepted version ${result.version} is missing from the committed history"
            }
            acceptances.add(now to result.version)
        }
    }

    private fun read(
        instance: SimulatedInstance,
        version: Long,
    ) {
        val startMilliseconds = instance.localMilliseconds(now)
        val incarnation = instance.state.incarnation
        after(delayMilliseconds()) {
            val reached = storeAvailable && instance.storeReachable
            val newest = history.size.toLong()
            val snapshot = configurationAt(random.nextLong(newest + 1)).takeIf { random.nextInt(3) == 0 }
            val patches = history.drop(maxOf(version, snapshot?.version ?: 0).toInt())
            after(delayMilliseconds()) {
                val event = ConfigurationEvent.StoreRead(startMilliseconds, newest, snapshot, patches)
                if (instance.state.incarnation == incarnation) {
                    handle(instance, if (reached) event else ConfigurationEvent.StoreUnreachable)
                }
            }
        }
    }

    private fun commit(
        instance: SimulatedInstance,
        effect: ConfigurationEffect.Commit,
    ) {
        val incarnation = instance.state.incarnation
        after(delayMilliseconds()) {
            val reached = storeAvailable && instance.storeReachable
            val result = if (reached) apply(effect.accepted) else CommitResult.NOT_RUN
            val reported = if (random.nextInt(4) == 0) CommitResult.UNKNOWN else result
            after(delayMilliseconds()) {
                if (instance.state.incarnation == incarnation) {
                    handle(instance, ConfigurationEvent.CommitEnded(effect.operatorRequest, reported))
                }
            }
        }
    }

    private fun apply(accepted: AcceptedPatch): CommitResult =
        when {
            history.getOrNull(accepted.version.toInt() - 1) == accepted -> CommitResult.COMMITTED
            history.size.toLong() != accepted.version - 1 -> CommitResult.SUPERSEDED
            else -> CommitResult.COMMITTED.also { history.add(accepted) }
        }

    private fun announce(
        instance: SimulatedInstance,
        effect: ConfigurationEffect.Announce,
    ) {
        val incarnation = instance.state.incarnation
        val peer = instances.first { it.name == effect.address }
        val callNumber = nextNumber++
        val answer = { event: ConfigurationEvent ->
            if (instance.state.incarnation == incarnation) handle(instance, event)
        }
        val failed = ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation)
        after(effect.timeoutMilliseconds) { if (random.nextInt(3) != 0) answer(failed) }
        after(delayMilliseconds()) {
            if (instance.partition != peer.partition) return@after
            pendingCalls[callNumber] = { confirmation ->
                val confirmed = ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, confirmation)
                repeat(1 + random.nextInt(2)) { after(delayMilliseconds()) { answer(confirmed) } }
            }
            handle(peer, ConfigurationEvent.AnnouncementReceived(callNumber, effect.announcement))
        }
    }

    private fun configurationAt(version: Long): Configuration =
        history.take(version.toInt()).fold(Configuration()) { state, accepted -> applyChanges(state, accepted.patch) }

    /** A random delay, mostly up to 20 ms, occasionally longer than every timeout of the protocol. */
    private fun delayMilliseconds(): Long =
        when (random.nextInt(40)) {
            0 -> random.nextLong(testLimits.forceMilliseconds * 3)
            1, 2 -> random.nextLong(2_000)
            else -> 1 + random.nextLong(20)
        }

    private fun after(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        queue.add(now + milliseconds to action)
    }

    private fun every(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        after(milliseconds) {
            action()
            every(milliseconds, action)
        }
    }
}
