/**
 * Carries out what the engine stand-in decides. Everything here runs on the thread of the engine's duty, but for the
 * readings of load, crashes and received requests, which any thread may take.
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
 * @param later runs a function on the duty's thread, from any thread
 * @param listen opens or closes the engine's port
 */
internal class EngineProcess(
    private var options: EngineStandInOptions,
    private val clock: ServiceClock,
    private val later: (() -> Unit) -> Unit,
    private val listen: (Boolean) -> Unit,
) {
    private val published = AtomicReference(EngineLoad(weightVersion = options.weightVersion))
    private val outputs = HashMap<Long, EngineOutput>()
    private val losses = HashSet<Long>()
    private var state = EngineState(options.weightVersion)
    private val usualTokenMilliseconds = options.tokenMilliseconds
    private var nextTask = 1L
    private var lagging = published.get()
    private var laggingSinceMilliseconds = Long.MIN_VALUE
    private var restartAtMilliseconds: Long? = null

    /** Number of crashes since the start. */
    val crashes = AtomicInteger()

    /** Load at the last event. */
    fun load(): EngineLoad = published.get()

    fun run(
        call: StandInCall<EngineOperation>,
        loseAnswer: Boolean,
    ) {
        when (val operation = call.operation) {
            is EngineOperation.Complete -> complete(call, operation, loseAnswer)
            is EngineOperation.LoadWeights -> loadWeights(call, operation, loseAnswer)
            EngineOperation.ReportLoad -> call.respond(loseAnswer, jsonReply(EngineLoad.serializer(), lagging))
            EngineOperation.ReportHealth -> call.respond(loseAnswer, HttpResponse.of(HttpStatus.OK))
        }
    }

    private fun cancel(task: Long) {
        state = state.cancel(task)
        forget(task)
        advance()
    }

    fun changeFaults(faults: StandInFaults) {
        state = state.copy(failingSwaps = faults.failSwaps)
        val tokenMilliseconds = faults.tokenMilliseconds.takeIf { it > 0 } ?: usualTokenMilliseconds
        options = options.copy(tokenMilliseconds = tokenMilliseconds)
        if (faults.down) cutAll()
    }

    fun tick() {
        val restartAt = restartAtMilliseconds
        if (restartAt != null && restartAt <= clock.readMilliseconds()) {
            restartAtMilliseconds = null
            listen(true)
        }
        advance()
    }

    fun crash() {
        crashes.incrementAndGet()
        cutAll()
        listen(false)
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
            call.exchange.respond(badRequest("The text to resume is not the start of this answer."))
            return
        }
        outputs[task.task] = operation.output
        if (loseAnswer) losses += task.task
        call.exchange.whenClosed { later { cancel(task.task) } }
        apply(state.submit(task, options))
        advance()
    }

    private fun loadWeights(
        call: StandInCall<EngineOperation>,
        operation: EngineOperation.LoadWeights,
        loseAnswer: Boolean,
    ) {
        advance()
        val change = state.order(operation.order, options, clock.readMilliseconds())
        state = change.state
        call.respond(loseAnswer, jsonReply(EngineOrderAnswer.serializer(), change.answer))
        publish()
    }

    private fun advance() {
        apply(state.advance(options, clock.readMilliseconds()))
        publish()
    }

    private fun apply(change: EngineChange) {
        state = change.state
        change.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: EngineEffect) {
        when (effect) {
            is EngineEffect.Part -> outputs[effect.task]?.part?.invoke(effect)
            is EngineEffect.Finish -> finish(effect)
            is EngineEffect.Refuse -> forget(effect.task)?.refuse?.invoke("Too many requests wait.")
            EngineEffect.Crash -> crash()
        }
    }

    private fun finish(effect: EngineEffect.Finish) {
        val isLost = effect.task.task in losses
        val output = forget(effect.task.task) ?: return
        if (isLost) output.cut() else output.finish(effect)
    }

    private fun forget(task: Long): EngineOutput? {
        losses -= task
        return outputs.remove(task)
    }

    private fun cutAll() {
        outputs.values.toList().forEach { it.cut() }
        outputs.clear()
        losses.clear()
        state = state.copy(running = state.running.clear(), waiting = state.waiting.clear())
    }

    private fun publish() {
        val load = state.load(options.cacheBlocks)
        published.set(load)
        val now = clock.readMilliseconds()
        if (laggingSinceMilliseconds == Long.MIN_VALUE ||
            now - laggingSinceMilliseconds >= options.loadLagMilliseconds
        ) {
            lagging = load
            laggingSinceMilliseconds = now
        }
    }

    private fun StandInCall<*>.respond(
        loseAnswer: Boolean,
        response: HttpResponse,
    ) {
        if (loseAnswer) exchange.cut() else exchange.respond(response)
    }
}
