/** HTTP routes that read and replace the faults of a stand-in, for use from another process. */
package org.mulberrypin.standins.faults

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.standins.jsonReply
import java.util.concurrent.CompletableFuture

/** Adds POST /faults, which replaces the active faults, and GET /faults, which returns them. */
internal fun addFaultRoutes(
    builder: ServerBuilder,
    control: () -> FaultControl,
) {
    builder.route().post("/faults").build { context, request ->
        HttpResponse.of(
            request.aggregate().thenCompose { body ->
                CompletableFuture.supplyAsync(
                    { replaceFaults(control(), body.contentUtf8()) },
                    context.blockingTaskExecutor(),
                )
            },
        )
    }
    builder.route().get("/faults").build { _, _ -> jsonReply(StandInFaults.serializer(), control().read()) }
}

private fun replaceFaults(
    control: FaultControl,
    body: String,
): HttpResponse =
    when (val faults = parseWireJson(body, StandInFaults.serializer(), "faults", "control")) {
        is Outcome.Success -> {
            control.set(faults.value)
            jsonReply(StandInFaults.serializer(), faults.value)
        }

        is Outcome.Failure -> {
            HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, faults.fault.detail)
        }
    }
