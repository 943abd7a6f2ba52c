package org.mulberrypin.standins.engine

import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineWeightOrder

/** Operation that a client requests from the engine stand-in. */
internal sealed interface EngineOperation {
    /** Generates an answer and writes it to an output. */
    data class Complete(
        val request: CompletionRequest,
        val output: EngineOutput,
    ) : EngineOperation

    /** Loads another weight version. */
    data class LoadWeights(
        val order: EngineWeightOrder,
    ) : EngineOperation

    /** Returns the load. */
    data object ReportLoad : EngineOperation

    /** Answers a health check. */
    data object ReportHealth : EngineOperation
}
