/**
 * The part of an entry instance that serves trainers. It runs three duties: the step duty makes the decisions, the
 * store duty makes blocking calls to the platform's storage, and the scoring duty makes blocking calls to the scoring
 * service.
 *
 * Full rings: if the ring of the step duty is full, a trainer's call gets status 503 with Retry-After, and a group that
 * another instance assigns here is refused, so that its holder assigns it elsewhere. A full store ring counts as a
 * store that does not respond, and a full scoring ring as a failed scoring call.
 */
package org.mulberrypin.service.rollouts

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.TrainerCall
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.BatchAnswer
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.GroupAssignment
import org.mulberrypin.schema.generated.GroupResult
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.peers.PeerHandler
import org.mulberrypin.service.requests.RequestPart

/**
 * Operations on the rollouts of one instance. Only [stop] blocks.
 *
 * @property routes adds the HTTP endpoints for trainers to a server
 * @property handleRunGroup generates a group of samples for a step that another instance holds
 * @property handleNextBatch responds to a trainer's call that another instance forwarded
 * @property configurationChanged applies a new configuration
 * @property peersChanged sets the instances that can generate groups, this one included
 * @property drain releases the held steps to other instances; groups that run for other holders are completed
 * @property inFlight returns the number of groups that this instance is generating
 * @property stop stops the duties and waits for their threads
 */
public data class RolloutPart(
    val routes: (ServerBuilder) -> Unit,
    val handleRunGroup: PeerHandler<GroupAssignment, GroupResult>,
    val handleNextBatch: PeerHandler<BatchRequest, BatchAnswer>,
    val configurationChanged: (Configuration) -> Unit,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val drain: () -> Unit,
    val inFlight: () -> Int,
    val stop: () -> Unit,
)

/**
 * Starts the duties that serve rollouts.
 *
 * @param authenticate returns the caller that owns the key in an Authorization header, or null for an unknown key
 * @param score scores each completed sample; called on the scoring duty's thread
 */
public fun startRolloutPart(
    context: EntryContext,
    requests: RequestPart,
    authenticate: (headerValue: String?) -> Caller?,
    score: Scorer = zeroScorer,
): RolloutPart {
    val inbox = RolloutInbox(boundedRing("rollout-steps", STEP_RING_CAPACITY))
    val storeRing = boundedRing<StoreTask>("rollout-store", STORE_RING_CAPACITY)
    val scoreRing = boundedRing<ScoreTask>("rollout-scores", SCORE_RING_CAPACITY)
    val stepDuty = RolloutDuty(context, requests, inbox, storeRing, scoreRing)
    val store = platformStepStore(context.platform)
    val duties = listOf(
        startDuty("rollout-steps", inbox.ring, context.clock, TICK_MILLISECONDS, stepDuty::handle, stepDuty::tick),
        startDuty("rollout-store", storeRing, context.clock, IDLE_TICK_MILLISECONDS, {
            executeStoreTask(store, it, inbox)
        }, {}),
        startDuty("rollout-scores", scoreRing, context.clock, IDLE_TICK_MILLISECONDS, { task ->
            val outcome = score(task.group, task.text)
            val scored = RunnerEvent.Scored(task.request, (outcome as? Outcome.Success)?.value)
            inbox.deliver(RolloutInput.Runner(scored))
        }, {}),
    )
    return RolloutPart(
        routes = { builder -> addRolloutRoutes(builder, authenticate) { inbox.offer(it) } },
        handleRunGroup = { assignment, onOutcome ->
            offerOrRefuse(inbox, RolloutInput.GroupCall(assignment, onOutcome), onOutcome, "run group", context)
        },
        handleNextBatch = { request, onOutcome ->
            val call = RolloutInput.StepCall(
                createCall = { TrainerCall.NextBatch(it, request, isForwarded = true) },
                onResponse = { onOutcome(Outcome.Success(it)) },
            )
            offerOrRefuse(inbox, call, onOutcome, "next batch", context)
        },
        configurationChanged = { inbox.deliver(RolloutInput.Step(StepEvent.KeysChanged(keyNamesOf(it)))) },
        peersChanged = { inbox.deliver(RolloutInput.Instances(it)) },
        drain = { inbox.deliver(RolloutInput.Drain) },
        inFlight = stepDuty::groupsInProgress,
        stop = { duties.forEach { it.stop(STOP_TIMEOUT_MILLISECONDS) } },
    )
}

private const val STEP_RING_CAPACITY = 16_384
private const val STORE_RING_CAPACITY = 1024
private const val SCORE_RING_CAPACITY = 4096
private const val TICK_MILLISECONDS = 100L
private const val IDLE_TICK_MILLISECONDS = 250L
private const val STOP_TIMEOUT_MILLISECONDS = 5000L

private fun <Answer> offerOrRefuse(
    inbox: RolloutInbox,
    input: RolloutInput,
    onOutcome: (Outcome<Answer>) -> Unit,
    step: String,
    context: EntryContext,
) {
    if (!inbox.offer(input)) {
        val instance = context.settings.instance.name
        onOutcome(Outcome.Failure(Fault(step, instance, FaultKind.NOT_RUN, "The ring ${inbox.ring.name} is full.")))
    }
}

private fun keyNamesOf(configuration: Configuration): Set<Pair<String, String>> =
    configuration.keys.map { it.team to it.name }.toSet()
