/**
 * Many instances that follow the configuration in simulated time, around one table service. The decisions are real;
 * delays are drawn from a seed. It counts what the instances send and how long they may serve.
 */
package org.mulberrypin.benchmarks.configuration

import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.protobuf.ProtoBuf
import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationBounds
import org.mulberrypin.decisions.configuration.ConfigurationEffect
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.ConfigurationState
import org.mulberrypin.decisions.configuration.SubmissionResult
import org.mulberrypin.decisions.configuration.decideConfiguration
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.random.Random

/** Bounds as the settings have them by default, in milliseconds. */
internal val defaultBounds: ConfigurationBounds = ConfigurationBounds(2_000, 10_000, 3_600_000, 0.01)

/**
 * @property messages announcements and their answers
 * @property bytes their encoded sizes with [OVERHEAD_BYTES] for each
 * @property reads reads of the version row
 * @property decisions events that were decided
 * @property decisionNanoseconds processor time of the deciding
 */
internal data class SpreadCounts(
    val messages: Long = 0,
    val bytes: Long = 0,
    val reads: Long = 0,
    val decisions: Long = 0,
    val decisionNanoseconds: Long = 0,
)

/** A world of [size] instances of which the last [dead] are listed but never answer. */
internal class SpreadWorld(
    val size: Int,
    private val dead: Int,
    private val announces: Boolean,
    seed: Long,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.milliseconds }, { it.order }))
    private val history = mutableListOf<AcceptedPatch>()
    private val calls = HashMap<Long, (VersionConfirmation) -> Unit>()
    private val states = Array(size) { ConfigurationState("instance-$it", 1, defaultBounds) }
    private val entries = List(size) { InstanceEntry(name = "instance-$it", peerAddress = "$it") }
    private var order = 0L
    var now: Long = 0
        private set
    var storeUp: Boolean = true
    var counts: SpreadCounts = SpreadCounts()
    var result: SubmissionResult? = null
        private set

    val alive: IntRange
        get() = 0 until size - dead

    fun start() {
        alive.forEach { instance ->
            dispatch(instance, ConfigurationEvent.MembersChanged(entries))
            after(random.nextLong(defaultBounds.pollMilliseconds)) { tick(instance) }
        }
    }

    /** Runs until [done] or until [milliseconds] have passed; answers the time that passed. */
    fun run(
        milliseconds: Long,
        done: () -> Boolean = { false },
    ): Long {
        val start = now
        while (!done() && queue.peek().milliseconds <= start + milliseconds) {
            val next = queue.poll()
            now = next.milliseconds
            next.action()
        }
        return now - start
    }

    fun submit(
        instance: Int,
        event: ConfigurationEvent.PatchSubmitted,
    ) {
        result = null
        dispatch(instance, event)
    }

    /** Puts a version into the table service without any instance knowing. */
    fun writeHistory(patch: ConfigurationPatch) {
        history.add(AcceptedPatch(history.size + 1L, patch))
    }

    fun version(instance: Int): Long = states[instance].version

    fun certain(): Int = alive.count { states[it].certainty.holds(defaultBounds, now) }

    private fun tick(instance: Int) {
        dispatch(instance, ConfigurationEvent.Tick)
        after(TICK_MILLISECONDS) { tick(instance) }
    }

    private fun dispatch(
        instance: Int,
        event: ConfigurationEvent,
    ) {
        val start = processorNanoseconds()
        val transition = decideConfiguration(states[instance], event, now)
        counts = counts.copy(
            decisions = counts.decisions + 1,
            decisionNanoseconds = counts.decisionNanoseconds + processorNanoseconds() - start,
        )
        states[instance] = transition.state
        transition.effects.forEach { carryOut(instance, it) }
    }

    private fun carryOut(
        instance: Int,
        effect: ConfigurationEffect,
    ) {
        when (effect) {
            is ConfigurationEffect.ReadStore -> read(instance, effect.version)
            is ConfigurationEffect.Commit -> commit(instance, effect)
            is ConfigurationEffect.Announce -> announce(instance, effect)
            is ConfigurationEffect.Confirm -> calls.remove(effect.call)?.invoke(effect.confirmation)
            is ConfigurationEffect.AnswerOperator -> result = effect.result
            is ConfigurationEffect.Publish, is ConfigurationEffect.WriteSnapshot -> return
        }
    }

    private fun read(
        instance: Int,
        version: Long,
    ) {
        val start = now
        counts = counts.copy(reads = counts.reads + 1)
        after(delay()) {
            val read = ConfigurationEvent.StoreRead(start, history.size.toLong(), null, history.drop(version.toInt()))
            val event = if (storeUp) read else ConfigurationEvent.StoreUnreachable
            after(delay()) { dispatch(instance, event) }
        }
    }

    private fun commit(
        instance: Int,
        effect: ConfigurationEffect.Commit,
    ) {
        after(delay()) {
            history.add(effect.accepted)
            val event = ConfigurationEvent.CommitEnded(effect.operator, CommitResult.COMMITTED)
            after(delay()) { dispatch(instance, event) }
        }
    }

    private fun announce(
        instance: Int,
        effect: ConfigurationEffect.Announce,
    ) {
        val peer = effect.address.toInt()
        after(effect.timeoutMilliseconds) {
            dispatch(instance, ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation))
        }
        if (!announces) return
        count(VersionAnnouncement.serializer(), effect.announcement)
        if (peer !in alive) return
        val call = order++
        calls[call] = { confirmation ->
            count(VersionConfirmation.serializer(), confirmation)
            val event = ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, confirmation)
            after(delay()) { dispatch(instance, event) }
        }
        after(delay()) { dispatch(peer, ConfigurationEvent.Announced(call, effect.announcement)) }
    }

    private fun <Message> count(
        serializer: SerializationStrategy<Message>,
        message: Message,
    ) {
        val encoded = ProtoBuf.encodeToByteArray(serializer, message).size
        counts = counts.copy(messages = counts.messages + 1, bytes = counts.bytes + encoded + OVERHEAD_BYTES)
    }

    /** One way between instances of the same region or of different ones. */
    private fun delay(): Long = 1 + random.nextLong(LONGEST_DELAY_MILLISECONDS)

    private fun after(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        queue.add(Scheduled(now + milliseconds, order++, action))
    }
}

private data class Scheduled(
    val milliseconds: Long,
    val order: Long,
    val action: () -> Unit,
)

/** Frames and headers of HTTP/2 and TCP for one message, with header compression. */
internal const val OVERHEAD_BYTES: Long = 100

private const val TICK_MILLISECONDS = 100L
private const val LONGEST_DELAY_MILLISECONDS = 50L

private fun processorNanoseconds(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime
