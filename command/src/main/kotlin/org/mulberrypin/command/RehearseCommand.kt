/**
 * Rehearses an entry instance's work: requests, a batch job, a new weight version and a planned stop, against stand-ins
 * in the same process. The build archives the classes that a rehearsal loads, so that an instance finds them at its
 * start. A rehearsal that fails or exceeds its time limit ends with [ExitCode.FAILED].
 */
package org.mulberrypin.command

import com.linecorp.armeria.client.ClientFactory
import org.mulberrypin.platform.deployment.DeploymentSettings
import org.mulberrypin.platform.deployment.readDeploymentSettings
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.runtime.systemClock
import org.mulberrypin.service.deployment.DeploymentInstance
import org.mulberrypin.service.deployment.startDeploymentInstance
import org.mulberrypin.standins.deployment.CALLER_KEY
import org.mulberrypin.standins.deployment.callerStandIn
import org.mulberrypin.standins.deployment.configurationText
import org.mulberrypin.standins.deployment.startServerStandIn
import org.mulberrypin.standins.deployment.startStoreStandIn
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread

internal val rehearseCommand: Command =
    command(
        "rehearse",
        "Runs an entry instance against stand-ins and stops it; the build archives the classes that it loads.",
        ::RehearseOptions,
        ::runRehearsal,
    )

private fun runRehearsal(
    options: RehearseOptions,
    console: Console,
): ExitCode {
    ClientFactory.disableShutdownHook()
    val finished = CompletableFuture<Unit>()
    thread(isDaemon = true, name = "rehearsal") {
        try {
            finished.complete(rehearse(options.file))
        } catch (failure: Exception) {
            finished.completeExceptionally(failure)
        }
    }
    return try {
        finished.get(options.limitMilliseconds, TimeUnit.MILLISECONDS)
        ExitCode.SUCCESS
    } catch (failure: ExecutionException) {
        console.printError("rehearse: the rehearsal failed: ${failure.cause}")
        ExitCode.FAILED
    } catch (_: TimeoutException) {
        console.printError("rehearse: the rehearsal took longer than ${options.limitMilliseconds} ms")
        ExitCode.FAILED
    }
}

private fun rehearse(file: String) {
    val clock = systemClock()
    val store = startStoreStandIn()
    val plainService = startServerStandIn(store, "plain-1", "plain")
    val engines = (1..2).map { startServerStandIn(store, "engine-$it", "engines", "sorter") }
    store.write("op", "config", configurationText(version = 1))
    val settings = readSettings(file).copy(storeAddress = store.address, usageAddress = store.address)
    val instance = startDeploymentInstance(settings, 0, clock)
    awaitCondition(clock, "the instance to be ready") { instance.isReady() }
    callInstance(instance, clock)
    store.write("op", "version/sorter", """{"model":"sorter","version":2}""")
    awaitCondition(clock, "the new weights on all engines") { engines.all { it.version.get() == 2L } }
    instance.drainAndStop()
    (engines + plainService).forEach { it.stop() }
    store.stop()
}

private fun readSettings(file: String): DeploymentSettings =
    when (val settings = readDeploymentSettings(Path.of(file))) {
        is Outcome.Failure -> error(settings.fault.toString())
        is Outcome.Success -> settings.value
    }

private fun callInstance(
    instance: DeploymentInstance,
    clock: ServiceClock,
) {
    val caller = callerStandIn(instance.callerPort)
    val orders = (1..REQUESTS).map {
        caller
            .request("/orders/$it", "order-$it", CALLER_KEY)
            .status()
            .code()
    }
    check(orders.all { it == OK_STATUS }) { "found statuses $orders of requests, expected $OK_STATUS" }
    caller.request("/payments/1", "payment-1", CALLER_KEY)
    caller.request("/none/1", "none-1", CALLER_KEY)
    val accepted = caller.submitJob("job-1", TASKS, 1)
    check(accepted == ACCEPTED_STATUS) { "found status $accepted of a job, expected $ACCEPTED_STATUS" }
    awaitCondition(clock, "the results of the job") { caller.readResults("job-1").size == TASKS }
    caller.endJob("job-1")
}

private fun awaitCondition(
    clock: ServiceClock,
    what: String,
    condition: () -> Boolean,
) {
    val deadlineMilliseconds = clock.readMilliseconds() + STEP_LIMIT_MILLISECONDS
    while (!condition()) {
        check(clock.readMilliseconds() < deadlineMilliseconds) { "waited $STEP_LIMIT_MILLISECONDS ms for $what" }
        Thread.sleep(POLL_MILLISECONDS)
    }
}

private const val REQUESTS = 10
private const val TASKS = 6
private const val OK_STATUS = 200
private const val ACCEPTED_STATUS = 202

/** Longest time that one step of the rehearsal may take, in milliseconds. */
private const val STEP_LIMIT_MILLISECONDS = 15_000L
private const val POLL_MILLISECONDS = 20L
