package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineWeightOrder

/** What a client asks of the engine stand-in. */
internal sealed interface EngineOperation {
    /** Generates an answer and hands it to an output. */
    data class Complete(
        val request: CompletionRequest,
        val output: EngineOutput,
    ) : EngineOperation

    /** Loads other weights. */
    data class LoadWeights(
        val order: EngineWeightOrder,
    ) : EngineOperation

    /** Reports the load. */
    data object ReportLoad : EngineOperation

    /** Tells that the engine lives. */
    data object ReportHealth : EngineOperation
}
