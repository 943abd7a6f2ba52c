/**
 * Simulates many instances that track the configuration through one table service. It runs the production decisions in
 * simulated time with random delays from a seed, and counts messages and the instances that may serve requests.
 */
package org.mulberrypin.benchmarks.configuration

import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.protobuf.ProtoBuf
import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationEffect
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.ConfigurationState
import org.mulberrypin.decisions.configuration.ConfigurationTimeLimits
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

/** The default time limits of the settings: poll, force and grace in milliseconds, then the clock rate bound. */
internal val defaultTimeLimits: ConfigurationTimeLimits = ConfigurationTimeLimits(2_000, 10_000, 3_600_000, 0.01)

/**
 * What a simulation counted.
 *
 * @property messages announcements and confirmations
 * @property bytes encoded size of all messages, with [OVERHEAD_BYTES] added for each
 * @property reads reads of the version row
 * @property decisions events that were passed to the decision
 * @property decisionNanoseconds processor time of the decisions
 */
internal data class PropagationCounts(
    val messages: Long = 0,
    val bytes: Long = 0,
    val reads: Long = 0,
    val decisions: Long = 0,
    val decisionNanoseconds: Long = 0,
)

/** Simulates [size] instances; the last [dead] of them are listed but never respond. */
internal class PropagationSimulation(
    val size: Int,
    private val dead: Int,
    private val announces: Boolean,
    seed: Long,
) {
    private val random = Random(seed)
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.milliseconds }, { it.sequence }))
    private val history = mutableListOf<AcceptedPatch>()
    private val pendingConfirmations = HashMap<Long, (VersionConfirmation) -> Unit>()
    private val states = Array(size) { ConfigurationState("instance-$it", 1, defaultTimeLimits) }
    private val entries = List(size) { InstanceEntry(name = "instance-$it", peerAddress = "$it") }
    private var sequence = 0L
    var now: Long = 0
        private set
    var storeAvailable: Boolean = true
    var counts: PropagationCounts = PropagationCounts()
    var result: SubmissionResult? = null
        private set

    val alive: IntRange
        get() = 0 until size - dead

    /** Passes the instance list to every responding instance and starts its ticks at a random time. */
    fun start() {
        alive.forEach { instance ->
            handleEvent(instance, ConfigurationEvent.MembersChanged(entries))
            schedule(random.nextLong(defaultTimeLimits.pollMilliseconds)) { tick(instance) }
        }
    }

    /** Runs until [done] is true or [milliseconds] have elapsed; returns the elapsed milliseconds. */
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

    /** Submits a patch at [instance]; its result is stored in [result]. */
    fun submit(
        instance: Int,
        event: ConfigurationEvent.PatchSubmitted,
    ) {
        result = null
        handleEvent(instance, event)
    }

    /** Commits a version to the table service without announcing it to any instance. */
    fun commitUnannounced(patch: ConfigurationPatch) {
        history.add(AcceptedPatch(history.size + 1L, patch))
    }

    /** Version of the configuration at [instance]. */
    fun version(instance: Int): Long = states[instance].version

    /** Number of responding instances that may serve requests now. */
    fun countCertain(): Int = alive.count { states[it].evidence.permitsServing(defaultTimeLimits, now) }

    private fun tick(instance: Int) {
        handleEvent(instance, ConfigurationEvent.Tick)
        schedule(TICK_MILLISECONDS) { tick(instance) }
    }

    private fun handleEvent(
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
        transition.effects.forEach { execute(instance, it) }
    }

    private fun execute(
        instance: Int,
        effect: ConfigurationEffect,
    ) {
        when (effect) {
            is ConfigurationEffect.ReadStore -> read(instance, effect.version)

            is ConfigurationEffect.Commit -> commit(instance, effect)

            is ConfigurationEffect.Announce -> announce(instance, effect)

            is ConfigurationEffect.AnswerAnnouncement -> pendingConfirmations.remove(effect.callNumber)?.invoke(
                effect.confirmation,
            )

            is ConfigurationEffect.AnswerOperator -> result = effect.result

            is ConfigurationEffect.ApplyConfiguration, is ConfigurationEffect.WriteSnapshot -> return
        }
    }

    private fun read(
        instance: Int,
        version: Long,
    ) {
        val start = now
        counts = counts.copy(reads = counts.reads + 1)
        schedule(delay()) {
            val read = ConfigurationEvent.StoreRead(start, history.size.toLong(), null, history.drop(version.toInt()))
            val event = if (storeAvailable) read else ConfigurationEvent.StoreUnreachable
            schedule(delay()) { handleEvent(instance, event) }
        }
    }

    private fun commit(
        instance: Int,
        effect: ConfigurationEffect.Commit,
    ) {
        schedule(delay()) {
            history.add(effect.accepted)
            val event = ConfigurationEvent.CommitEnded(effect.operatorRequest, CommitResult.COMMITTED)
            schedule(delay()) { handleEvent(instance, event) }
        }
    }

    private fun announce(
        instance: Int,
        effect: ConfigurationEffect.Announce,
    ) {
        val peer = effect.address.toInt()
        schedule(effect.timeoutMilliseconds) {
            handleEvent(instance, ConfigurationEvent.PeerFailed(effect.fanout, effect.delegation))
        }
        if (!announces) return
        countMessage(VersionAnnouncement.serializer(), effect.announcement)
        if (peer !in alive) return
        val call = sequence++
        pendingConfirmations[call] = { confirmation ->
            countMessage(VersionConfirmation.serializer(), confirmation)
            val event = ConfigurationEvent.PeerConfirmed(effect.fanout, effect.delegation, confirmation)
            schedule(delay()) { handleEvent(instance, event) }
        }
        schedule(delay()) { handleEvent(peer, ConfigurationEvent.AnnouncementReceived(call, effect.announcement)) }
    }

    private fun <Message> countMessage(
        serializer: SerializationStrategy<Message>,
        message: Message,
    ) {
        val encoded = ProtoBuf.encodeToByteArray(serializer, message).size
        counts = counts.copy(messages = counts.messages + 1, bytes = counts.bytes + encoded + OVERHEAD_BYTES)
    }

    /** One-way delay in milliseconds; the range covers instances of the same region and of different regions. */
    private fun delay(): Long = 1 + random.nextLong(MAX_DELAY_MILLISECONDS)

    private fun schedule(
        milliseconds: Long,
        action: () -> Unit,
    ) {
        queue.add(Scheduled(now + milliseconds, sequence++, action))
    }
}

private data class Scheduled(
    val milliseconds: Long,
    val sequence: Long,
    val action: () -> Unit,
)

/** HTTP/2 and TCP framing and headers of one message, with header compression. */
internal const val OVERHEAD_BYTES: Long = 100

private const val TICK_MILLISECONDS = 100L
private const val MAX_DELAY_MILLISECONDS = 50L

private fun processorNanoseconds(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime
