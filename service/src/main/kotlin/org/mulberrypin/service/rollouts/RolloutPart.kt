/**
 * The part of an entry instance that serves trainers. Three duties: one decides, one makes the blocking calls of the
 * platform's storage, one makes the blocking calls of the scoring service. A full ring of the deciding duty has the
 * trainer ask again (503 with Retry-After) and a holder assign its group elsewhere; a full ring of the storage duty
 * counts as a store that does not answer; a full ring of the scoring duty counts as a scoring that failed.
 */
package org.mulberrypin.service.rollouts

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.decisions.rollouts.RunnerEvent
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.TrainerAsk
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
 * Operations on the rollouts of one instance. None of them blocks.
 *
 * @property routes adds the HTTP interface for trainers to a server
 * @property handleRunGroup generates a group for a holder on another instance
 * @property handleNextBatch answers a trainer's call that another instance passed on
 * @property configurationChanged puts a configuration in force
 * @property peersChanged tells the instances that can generate groups, this one included
 * @property drain hands the held steps over; groups under way for other holders are finished
 * @property inFlight the number of groups under way for holders
 * @property stop ends the duties
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
 * Starts the duties of the rollouts.
 *
 * @param authenticate answers who sent an Authorization header, or null when its key is not in force
 * @param score scores each whole sample
 */
public fun startRolloutPart(
    context: EntryContext,
    requests: RequestPart,
    authenticate: (headerValue: String?) -> Caller?,
    score: Scorer = unscored,
): RolloutPart {
    val inbox = RolloutInbox(boundedRing("rollout-steps", STEP_RING_CAPACITY))
    val storeRing = boundedRing<StoreTask>("rollout-store", STORE_RING_CAPACITY)
    val scoreRing = boundedRing<ScoreTask>("rollout-scores", SCORE_RING_CAPACITY)
    val loop = RolloutLoop(context, requests, inbox, storeRing, scoreRing)
    val store = platformStepStore(context.platform)
    val duties = listOf(
        startDuty("rollout-steps", inbox.ring, context.clock, TICK_MILLISECONDS, loop::handle, loop::tick),
        startDuty("rollout-store", storeRing, context.clock, IDLE_TICK_MILLISECONDS, {
            carryOutStoreTask(store, it, inbox)
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
            val call = RolloutInput.TrainerCall(
                numbered = { TrainerAsk.NextBatch(it, request, passedOn = true) },
                onAnswer = { onOutcome(Outcome.Success(it)) },
            )
            offerOrRefuse(inbox, call, onOutcome, "next batch", context)
        },
        configurationChanged = { inbox.deliver(RolloutInput.Step(StepEvent.KeysChanged(keysOf(it)))) },
        peersChanged = { inbox.deliver(RolloutInput.Instances(it)) },
        drain = { inbox.deliver(RolloutInput.Drain) },
        inFlight = loop::groupsUnderWay,
        stop = { duties.forEach { it.stop(STOP_WAIT_MILLISECONDS) } },
    )
}

private const val STEP_RING_CAPACITY = 16_384
private const val STORE_RING_CAPACITY = 1024
private const val SCORE_RING_CAPACITY = 4096
private const val TICK_MILLISECONDS = 100L
private const val IDLE_TICK_MILLISECONDS = 250L
private const val STOP_WAIT_MILLISECONDS = 5000L

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

private fun keysOf(configuration: Configuration): Set<Pair<String, String>> =
    configuration.keys.map { it.team to it.name }.toSet()
