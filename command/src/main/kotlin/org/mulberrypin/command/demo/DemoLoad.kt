/** Generates the load of the demo: callers and a trainer that run concurrently. */
package org.mulberrypin.command.demo

import org.mulberrypin.standins.load.CallerOptions
import org.mulberrypin.standins.load.CallerReport
import org.mulberrypin.standins.load.TrainerOptions
import org.mulberrypin.standins.load.TrainerReport
import org.mulberrypin.standins.load.runCallers
import org.mulberrypin.standins.load.runTrainer
import java.util.concurrent.CompletableFuture

/** The results that callers and trainer observed. */
internal data class DemoLoad(
    val callers: CallerReport,
    val trainer: TrainerReport,
)

/** Runs callers and trainer concurrently and returns when both have finished. */
internal fun runDemoLoad(
    network: DemoNetwork,
    callerKey: String,
    trainerKey: String,
): DemoLoad {
    val addresses = network.instances.map { it.address }
    val trainer = CompletableFuture<TrainerReport>()
    val trainerOptions =
        TrainerOptions(
            addresses = addresses,
            key = trainerKey,
            trainer = "demo",
            model = DEMO_MODEL,
            steps = 3,
            groupsPerStep = 16,
            samplesPerGroup = 4,
        )
    Thread({ trainer.complete(runTrainer(trainerOptions)) }, "demo-trainer").start()
    val callers =
        runCallers(
            CallerOptions(
                addresses = addresses,
                key = callerKey,
                model = DEMO_MODEL,
                plainRoute = DEMO_SERVICE,
                callers = 6,
                callsPerCaller = 80,
                maxTokens = 16,
            ),
        )
    return DemoLoad(callers, trainer.join())
}
