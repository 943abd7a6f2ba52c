/**
 * The duty that all stand-ins share: one thread takes calls from one ring, applies the faults in force, and runs what
 * is left. A call that finds the ring full is answered as not run.
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
 * @property submit hands in a call of a client
 * @property post runs a function on the duty's thread; false means that the ring is full
 * @property await runs a function on the duty's thread and waits for its end
 * @property faults control over the faults in force
 * @property stop ends the thread, which may take until its next tick
 */
internal data class StandInDuty<Operation : Any>(
    val submit: (StandInCall<Operation>) -> Unit,
    val post: (() -> Unit) -> Boolean,
    val await: (() -> Unit) -> Unit,
    val faults: FaultControl,
    val stop: () -> Unit,
)

/**
 * What a stand-in does on the thread of its duty.
 *
 * @property arrived called for each call before any fault meets it
 * @property run runs an operation; the connection is cut instead of an answer when the flag is true
 * @property faultsChanged called when other faults come into force
 * @property tick called once in each tick interval
 */
internal data class StandInWork<Operation : Any>(
    val run: (call: StandInCall<Operation>, loseAnswer: Boolean) -> Unit,
    val arrived: (ReceivedRequest) -> Unit = {},
    val faultsChanged: (StandInFaults) -> Unit = {},
    val tick: () -> Unit = {},
)

/** Starts the duty of a stand-in; [name] names its thread and ring. */
internal fun <Operation : Any> startStandInDuty(
    name: String,
    clock: ServiceClock,
    tickMilliseconds: Long,
    work: StandInWork<Operation>,
    ringCapacity: Int = RING_CAPACITY,
): StandInDuty<Operation> {
    val ring = boundedRing<() -> Unit>(name, ringCapacity)
    val front = StandInFront(ring, work)
    val duty = startDuty(name, ring, clock, tickMilliseconds, handleEvent = { it() }, handleTick = work.tick)
    return StandInDuty(
        submit = front::submit,
        post = ring::offer,
        await = front::await,
        faults = FaultControl(set = front::setFaults, read = front::readFaults),
        stop = { duty.stop(STOP_MILLISECONDS) },
    )
}

/** The way of calls through the ring and the faults to the work. */
private class StandInFront<Operation : Any>(
    private val ring: BoundedRing<() -> Unit>,
    private val work: StandInWork<Operation>,
) {
    private val faults = AtomicReference(StandInFaults())

    fun submit(call: StandInCall<Operation>) {
        if (!ring.offer { handle(call) }) {
            call.exchange.respond(notRunReply(HttpStatus.SERVICE_UNAVAILABLE, call.name, "The ring is full."))
        }
    }

    fun await(action: () -> Unit) {
        val done = CompletableFuture<Unit>()
        check(ring.offer { done.complete(action()) }) { "The ring ${ring.name} is full." }
        done.join()
    }

    fun setFaults(changed: StandInFaults) =
        await {
            faults.set(changed)
            work.faultsChanged(changed)
        }

    fun readFaults(): StandInFaults = faults.get()

    private fun handle(call: StandInCall<Operation>) {
        if (!call.delayed) work.arrived(call.received)
        val decision = decideFault(faults.get(), call.name, call.delayed)
        faults.set(decision.faults)
        carryOut(decision.action, call)
    }

    private fun carryOut(
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

            FaultAction.Cut -> {
                call.exchange.cut()
            }

            is FaultAction.Refuse -> {
                call.exchange.respond(notRunReply(HttpStatus.valueOf(action.status), call.name, "Refused by a fault."))
            }

            is FaultAction.Delay -> {
                call.exchange.delay(action.milliseconds) { submit(call.copy(delayed = true)) }
            }
        }
    }
}

private const val RING_CAPACITY = 65_536
private const val STOP_MILLISECONDS = 1L
