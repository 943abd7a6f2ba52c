/**
 * Instances, a table service and operators in simulated time, with a seed that decides all delays and failures. Only
 * the decisions are real. The world checks after every event that no promise about configurations is broken.
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

internal class WorldInstance(
    val name: String,
    val rate: Double,
    val origin: Long,
) {
    var state = ConfigurationState(name, 1, worldBounds)
    var storeLink = true
    var group = 0

    fun local(now: Long): Long = origin + (now * rate).toLong()

    fun isCertain(now: Long): Boolean = state.certainty.holds(worldBounds, local(now))
}

internal val worldBounds = ConfigurationBounds(500, 5_000, 60_000, 0.01)

internal class ConfigurationWorld(
    seed: Long,
    size: Int,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val history = mutableListOf<AcceptedPatch>()
    private val acceptances = mutableListOf<Pair<Long, Long>>()
    private val calls = HashMap<Long, (VersionConfirmation) -> Unit>()
    private var now = 0L
    private var storeUp = true
    private var numbers = 0L
    private val instances = List(size) { index ->
        WorldInstance("instance-$index", 0.995 + random.nextDouble() / 100, random.nextLong(100_000))
    }
    var accepted = 0
    var servedWithoutStore = 0
    var refused = 0

    fun run(milliseconds: Long) {
        val entries = instances.map { InstanceEntry(name = it.name, peerAddress = it.name) }
        instances.forEach { dispatch(it, ConfigurationEvent.MembersChanged(entries)) }
        every(100) { instances.forEach { dispatch(it, ConfigurationEvent.Tick) } }
        every(700) { repeat(random.nextInt(3)) { submit() } }
        every(1_500) { if (random.nextInt(3) == 0) breakOrMend() }
        while (queue.isNotEmpty() && queue.peek().first <= milliseconds) {
            val (time, action) = queue.poll()
            now = time
            action()
            instances.forEach(::check)
        }
    }

    private fun check(instance: WorldInstance) {
        if (!instance.isCertain(now)) {
            refused++
            return
        }
        val due = acceptances.filter { it.first + worldBounds.forceMilliseconds < now }.maxOfOrNull { it.second } ?: 0
        check(instance.state.version >= due) {
            "${instance.name} serves under ${instance.state.version} at $now, but $due was accepted before"
        }
        val store = instance.state.certainty.storeMilliseconds ?: 0
        if (instance.local(now) - store > worldBounds.certaintyMilliseconds) servedWithoutStore++
    }

    private fun breakOrMend() {
        val instance = instances.random(random)
        when (random.nextInt(8)) {
            0 -> storeUp = !storeUp
            1 -> storeUp = true
            2, 3 -> instance.storeLink = !instance.storeLink
            4 -> instances.forEach { it.group = random.nextInt(2) }
            5 -> instances.forEach { it.group = 0 }
            6 -> instances.forEach { it.storeLink = true }
            else -> restart(instance)
        }
    }

    private fun restart(instance: WorldInstance) {
        instance.state = ConfigurationState(instance.name, instance.state.incarnation + 1, worldBounds)
        val entries = instances.map { InstanceEntry(name = it.name, peerAddress = it.name) }
        dispatch(instance, ConfigurationEvent.MembersChanged(entries))
    }

    private fun submit() {
        val instance = instances.random(random)
        val expected = if (random.nextBoolean()) instance.state.version else history.size.toLong()
        val team = Team(name = "team-${random.nextInt(5)}", weight = 1.0 + random.nextInt(100))
        val change = ConfigurationChange(subject = ChangeSubject.TEAM, name = team.name, team = team)
        val patch = ConfigurationPatch(expected, "operator", "test ${numbers++}", listOf(change))
        dispatch(instance, ConfigurationEvent.PatchSubmitted(numbers++, patch, now))
    }

    private fun dispatch(
        instance: WorldInstance,
        event: ConfigurationEvent,
    ) {
        val version = instance.state.version
        val transition = decideConfiguration(instance.state, event, instance.local(now))
        check(transition.state.version >= version) { "${instance.name} went back from $version" }
        instance.state = transition.state
        transition.effects.forEach { carryOut(instance, it) }
    }

    private fun carryOut(
        instance: WorldInstance,
        effect: ConfigurationEffect,
    ) {
        when (effect) {
            is ConfigurationEffect.Publish -> checkHistory(effect.configuration)
            is ConfigurationEffect.ReadStore -> read(instance, effect.version)
            is ConfigurationEffect.Commit -> commit(instance, effect)
            is ConfigurationEffect.WriteSnapshot -> checkHistory(effect.configuration)
            is ConfigurationEffect.Announce -> announce(instance, effect)
            is ConfigurationEffect.Confirm -> calls.remove(effect.call)?.invoke(effect.confirmation)
            is ConfigurationEffect.AnswerOperator -> note(effect.result)
        }
    }

    private fun checkHistory(configuration: Configuration) {
        check(configuration == configurationAt(configuration.version)) { "Version ${configuration.version} differs" }
    }

    private fun note(result: SubmissionResult) {
        if (result is SubmissionResult.Accepted) {
            accepted++
            check(result.version <= history.size) { "Accepted version ${result.version} is not in the history" }
            acceptances.add(now to result.version)
        }
    }

    private fun read(
        instance: WorldInstance,
        version: Long,
    ) {
        val start = instance.local(now)
        val incarnation = instance.state.incarnation
        after(delay()) {
            val reached = storeUp && instance.storeLink
            val newest = history.size.toLong()
            val snapshot = configurationAt(random.nextLong(newest + 1)).takeIf { random.nextInt(3) == 0 }
            val patches = history.drop(maxOf(version, snapshot?.version ?: 0).toInt())
            after(delay()) {
                val event = ConfigurationEvent.StoreRead(start, newest, snapshot, patches)
                if (instance.state.incarnation == incarnation) {
                    dispatch(instance, if (reached) event else ConfigurationEvent.StoreUnreachable)
                }
            }
        }
    }

    private fun commit(
        instance: WorldInstance,
        effect: ConfigurationEffect.Commit,
    ) {
        val incarnation = instance.state.incarnation
        after(delay()) {
            val reached = storeUp && instance.storeLink
            val result = if (reached) apply(effect.accepted) else CommitResult.NOT_RUN
            val told = if (random.nextInt(4) == 0) CommitResult.UNKNOWN else result
            after(delay()) {
                if (instance.state.incarnation == incarnation) {
                    dispatch(instance, ConfigurationEvent.CommitEnded(effect.operator, told))
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
        instance: WorldInstance,
        effect: ConfigurationEffect.Announce,
    ) {
        val incarnation = instance.state.incarnation
        val peer = instances.first { it.name == effect.address }
        val call = numbers++
        val answer = { event: ConfigurationEvent ->
            if (instance.state.incarnation == incarnation) dispatch(instance, event)
        }
        val failed = ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation)
        after(effect.timeoutMilliseconds) { if (random.nextInt(3) != 0) answer(failed) }
        after(delay()) {
            if (instance.group != peer.group) return@after
            calls[call] = { confirmation ->
                val confirmed = ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, confirmation)
                repeat(1 + random.nextInt(2)) { after(delay()) { answer(confirmed) } }
            }
            dispatch(peer, ConfigurationEvent.Announced(call, effect.announcement))
        }
    }

    private fun configurationAt(version: Long): Configuration =
        history.take(version.toInt()).fold(Configuration()) { state, accepted -> applyChanges(state, accepted.patch) }

    /** Mostly some milliseconds; now and then longer than every bound of the protocol. */
    private fun delay(): Long =
        when (random.nextInt(40)) {
            0 -> random.nextLong(worldBounds.forceMilliseconds * 3)
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
