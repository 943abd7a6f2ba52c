/** Starts the platform stand-in: an HTTP server and one duty that owns the state. */
package org.mulberrypin.standins.platform

import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.schema.generated.PlatformRecords
import org.mulberrypin.standins.StandInCall
import org.mulberrypin.standins.StandInDuty
import org.mulberrypin.standins.StandInWork
import org.mulberrypin.standins.faults.addFaultRoutes
import org.mulberrypin.standins.jsonReply
import org.mulberrypin.standins.startStandInDuty
import org.mulberrypin.standins.startStandInServer
import java.util.concurrent.atomic.AtomicReference

/** Starts the table, object, order, usage and instance services in this process, with all data in memory. */
public fun startPlatformStandIn(
    options: PlatformStandInOptions = PlatformStandInOptions(),
    clock: ServiceClock = systemClock(),
): PlatformStandIn {
    val state = AtomicReference(PlatformState())
    val duty = startPlatformDuty(options, clock, state)
    val server = startStandInServer(options.port) { builder ->
        addPlatformRoutes(builder, duty.submit)
        addFaultRoutes(builder) { duty.faults }
        builder.route().get("/records").build { _, _ -> jsonReply(PlatformRecords.serializer(), state.get().records()) }
    }
    return PlatformStandIn(
        address = server.address,
        faults = duty.faults,
        records = { state.get().records() },
        rows = { state.get().tables.rows },
        instances = { state.get().instances.listAt(Long.MAX_VALUE) },
        stop = {
            server.stop()
            duty.stop()
        },
    )
}

private fun startPlatformDuty(
    options: PlatformStandInOptions,
    clock: ServiceClock,
    state: AtomicReference<PlatformState>,
): StandInDuty<PlatformOperation> {
    val run: (StandInCall<PlatformOperation>, Boolean) -> Unit = { call, loseAnswer ->
        val transition = state.get().perform(call.operation, options, clock.readWallMilliseconds())
        state.set(transition.state)
        if (loseAnswer) call.exchange.disconnect() else call.exchange.respond(encodePlatformAnswer(transition.answer))
    }
    val work = StandInWork(run = run, onFaultsChanged = { faults -> state.set(state.get().withFaults(faults)) })
    return startStandInDuty("platform-stand-in", clock, IDLE_TICK_MILLISECONDS, work)
}

private fun PlatformState.records(): PlatformRecords =
    PlatformRecords(usage = usageLog, orders = orderLog, commits = commits, reads = reads)

private const val IDLE_TICK_MILLISECONDS = 1_000L
