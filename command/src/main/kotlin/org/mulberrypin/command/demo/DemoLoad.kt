/** The load of the demonstration: callers of the shop and a trainer, at the same time. */
package org.mulberrypin.command.demo

import org.mulberrypin.standins.load.CallerOptions
import org.mulberrypin.standins.load.CallerReport
import org.mulberrypin.standins.load.TrainerOptions
import org.mulberrypin.standins.load.TrainerReport
import org.mulberrypin.standins.load.runCallers
import org.mulberrypin.standins.load.runTrainer
import java.util.concurrent.CompletableFuture

/** What callers and trainer saw. */
internal data class DemoLoad(
    val callers: CallerReport,
    val trainer: TrainerReport,
)

/** Runs callers and trainer and returns once both have ended. */
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
            groupsOfStep = 16,
            samplesOfGroup = 4,
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
                callsOfCaller = 80,
                maxTokens = 16,
            ),
        )
    return DemoLoad(callers, trainer.join())
}
