/**
 * The duty that all stand-ins share: one thread takes calls from a bounded ring buffer, applies the active faults, and
 * executes the calls. A call that does not fit into the buffer is refused as not run.
 */
package org.mulberrypin.standins

import com.linecorp.armeria.common.HttpStatus
import org.mulberrypin.runtime.BoundedRing
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.ReceivedRequest
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.standins.faults.FaultAction
import org.mulberrypin.standins.faults.FaultControl
import org.mulberrypin.standins.faults.decideFault
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/**
 * @property submit enqueues a call of a client
 * @property post enqueues a function for the duty's thread; returns false if the ring buffer is full
 * @property await runs a function on the duty's thread and blocks until it has returned
 * @property faults control over the active faults
 * @property stop requests the end of the thread, which may take until its next tick
 */
internal data class StandInDuty<Operation : Any>(
    val submit: (StandInCall<Operation>) -> Unit,
    val post: (() -> Unit) -> Boolean,
    val await: (() -> Unit) -> Unit,
    val faults: FaultControl,
    val stop: () -> Unit,
)

/**
 * The functions of a stand-in that run on the thread of its duty.
 *
 * @property onReceived called once for each call, before faults are applied
 * @property run executes an operation; if loseAnswer is true, it disconnects instead of responding
 * @property onFaultsChanged called when the active faults are replaced
 * @property tick called once per tick interval
 */
internal data class StandInWork<Operation : Any>(
    val run: (call: StandInCall<Operation>, loseAnswer: Boolean) -> Unit,
    val onReceived: (ReceivedRequest) -> Unit = {},
    val onFaultsChanged: (StandInFaults) -> Unit = {},
    val tick: () -> Unit = {},
)

/** Starts the duty of a stand-in; [name] is the name of its thread and ring buffer. */
internal fun <Operation : Any> startStandInDuty(
    name: String,
    clock: ServiceClock,
    tickMilliseconds: Long,
    work: StandInWork<Operation>,
    ringCapacity: Int = RING_CAPACITY,
): StandInDuty<Operation> {
    val ring = boundedRing<() -> Unit>(name, ringCapacity)
    val dispatcher = CallDispatcher(ring, work)
    val duty = startDuty(name, ring, clock, tickMilliseconds, handleEvent = { it() }, handleTick = work.tick)
    return StandInDuty(
        submit = dispatcher::submit,
        post = ring::offer,
        await = dispatcher::await,
        faults = FaultControl(set = dispatcher::setFaults, read = dispatcher::readFaults),
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

/** Enqueues calls, applies the active faults to them, and passes them to [work]. */
private class CallDispatcher<Operation : Any>(
    private val ring: BoundedRing<() -> Unit>,
    private val work: StandInWork<Operation>,
) {
    private val faults = AtomicReference(StandInFaults())

    fun submit(call: StandInCall<Operation>) {
        if (!ring.offer { handle(call) }) {
            call.exchange.respond(
                notRunReply(HttpStatus.SERVICE_UNAVAILABLE, call.name, "The ring buffer of the stand-in is full."),
            )
        }
    }

    fun await(action: () -> Unit) {
        val done = CompletableFuture<Unit>()
        check(ring.offer { done.complete(action()) }) { "The ring buffer ${ring.name} is full." }
        done.join()
    }

    fun setFaults(replacement: StandInFaults) =
        await {
            faults.set(replacement)
            work.onFaultsChanged(replacement)
        }

    fun readFaults(): StandInFaults = faults.get()

    private fun handle(call: StandInCall<Operation>) {
        if (!call.delayed) work.onReceived(call.received)
        val decision = decideFault(faults.get(), call.name, call.delayed)
        faults.set(decision.faults)
        applyFault(decision.action, call)
    }

    private fun applyFault(
        action: FaultAction,
        call: StandInCall<Operation>,
    ) {
        when (action) {
            FaultAction.Run -> {
                work.run(call, false)
            }

            FaultAction.RunAndLoseAnswer -> {
                work.run(call, true)
            }

            FaultAction.Disconnect -> {
                call.exchange.disconnect()
            }

            is FaultAction.Refuse -> {
                call.exchange.respond(
                    notRunReply(HttpStatus.valueOf(action.status), call.name, "Refused by an injected fault."),
                )
            }

            is FaultAction.Delay -> {
                call.exchange.delay(action.milliseconds) { submit(call.copy(delayed = true)) }
            }
        }
    }
}

private const val RING_CAPACITY = 65_536
private const val STOP_MILLISECONDS = 1L
