/**
 * Executes the operations and state transitions of the engine stand-in. Everything runs on the thread of the engine's
 * duty, except for reads of the load and the number of crashes, which are thread-safe.
 */
package org.mulberrypin.standins.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.EngineLoad
import org.mulberrypin.schema.generated.EngineOrderAnswer
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.standins.StandInCall
import org.mulberrypin.standins.jsonReply
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/**
 * @param enqueue enqueues a function for the duty's thread; may be called from any thread
 * @param setListening opens or closes the engine's port
 */
internal class EngineProcess(
    private var options: EngineStandInOptions,
    private val clock: ServiceClock,
    private val enqueue: (() -> Unit) -> Unit,
    private val setListening: (Boolean) -> Unit,
) {
    private val currentLoad = AtomicReference(EngineLoad(weightVersion = options.weightVersion))
    private val outputs = HashMap<Long, EngineOutput>()
    private val tasksToDisconnect = HashSet<Long>()
    private var state = EngineState(options.weightVersion)
    private val defaultTokenMilliseconds = options.tokenMilliseconds
    private var nextTask = 1L
    private var reportedLoad = currentLoad.get()
    private var reportedLoadMilliseconds = Long.MIN_VALUE
    private var restartAtMilliseconds: Long? = null

    /** Number of crashes since the start. */
    val crashes = AtomicInteger()

    /** The load after the last event. */
    fun load(): EngineLoad = currentLoad.get()

    fun run(
        call: StandInCall<EngineOperation>,
        loseAnswer: Boolean,
    ) {
        when (val operation = call.operation) {
            is EngineOperation.Complete -> complete(call, operation, loseAnswer)
            is EngineOperation.LoadWeights -> loadWeights(call, operation, loseAnswer)
            EngineOperation.ReportLoad -> call.respond(loseAnswer, jsonReply(EngineLoad.serializer(), reportedLoad))
            EngineOperation.ReportHealth -> call.respond(loseAnswer, HttpResponse.of(HttpStatus.OK))
        }
    }

    private fun cancel(task: Long) {
        state = state.cancel(task)
        removeOutput(task)
        advance()
    }

    fun changeFaults(faults: StandInFaults) {
        state = state.copy(failingSwaps = faults.failSwaps)
        val tokenMilliseconds = faults.tokenMilliseconds.takeIf { it > 0 } ?: defaultTokenMilliseconds
        options = options.copy(tokenMilliseconds = tokenMilliseconds)
        if (faults.down) disconnectAll()
    }

    fun tick() {
        val restartTimeMilliseconds = restartAtMilliseconds
        if (restartTimeMilliseconds != null && restartTimeMilliseconds <= clock.readMilliseconds()) {
            restartAtMilliseconds = null
            setListening(true)
        }
        advance()
    }

    fun crash() {
        crashes.incrementAndGet()
        disconnectAll()
        setListening(false)
        state = EngineState(options.weightVersion)
        if (options.restartMilliseconds > 0) {
            restartAtMilliseconds = clock.readMilliseconds() + options.restartMilliseconds
        }
    }

    private fun complete(
        call: StandInCall<EngineOperation>,
        operation: EngineOperation.Complete,
        loseAnswer: Boolean,
    ) {
        val task = engineTask(nextTask++, operation.request)
        if (task == null) {
            call.exchange.respond(badRequest("resume_text must be the first resume_tokens tokens of the answer."))
            return
        }
        outputs[task.task] = operation.output
        if (loseAnswer) tasksToDisconnect += task.task
        call.exchange.whenClosed { enqueue { cancel(task.task) } }
        applyTransition(state.submit(task, options))
        advance()
    }

    private fun loadWeights(
        call: StandInCall<EngineOperation>,
        operation: EngineOperation.LoadWeights,
        loseAnswer: Boolean,
    ) {
        advance()
        val transition = state.order(operation.order, options, clock.readMilliseconds())
        state = transition.state
        call.respond(loseAnswer, jsonReply(EngineOrderAnswer.serializer(), transition.answer))
        publishLoad()
    }

    private fun advance() {
        applyTransition(state.advance(options, clock.readMilliseconds()))
        publishLoad()
    }

    private fun applyTransition(transition: EngineTransition) {
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: EngineEffect) {
        when (effect) {
            is EngineEffect.Part -> outputs[effect.task]?.part?.invoke(effect)
            is EngineEffect.Finish -> finish(effect)
            is EngineEffect.Refuse -> removeOutput(effect.task)?.refuse?.invoke("The queue of the engine is full.")
            EngineEffect.Crash -> crash()
        }
    }

    private fun finish(effect: EngineEffect.Finish) {
        val mustDisconnect = effect.task.task in tasksToDisconnect
        val output = removeOutput(effect.task.task) ?: return
        if (mustDisconnect) output.disconnect() else output.finish(effect)
    }

    private fun removeOutput(task: Long): EngineOutput? {
        tasksToDisconnect -= task
        return outputs.remove(task)
    }

    private fun disconnectAll() {
        outputs.values.toList().forEach { it.disconnect() }
        outputs.clear()
        tasksToDisconnect.clear()
        state = state.copy(running = state.running.clear(), waiting = state.waiting.clear())
    }

    private fun publishLoad() {
        val load = state.load(options.cacheBlocks)
        currentLoad.set(load)
        val nowMilliseconds = clock.readMilliseconds()
        if (reportedLoadMilliseconds == Long.MIN_VALUE ||
            nowMilliseconds - reportedLoadMilliseconds >= options.loadLagMilliseconds
        ) {
            reportedLoad = load
            reportedLoadMilliseconds = nowMilliseconds
        }
    }

    private fun StandInCall<*>.respond(
        loseAnswer: Boolean,
        response: HttpResponse,
    ) {
        if (loseAnswer) exchange.disconnect() else exchange.respond(response)
    }
}
