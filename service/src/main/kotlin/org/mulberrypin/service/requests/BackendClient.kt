package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineLoad

/**
 * Calls to backend servers. Each call names the server by its address as host:port, never blocks, and answers a
 * function that cancels it by closing its connection.
 *
 * @property complete asks a model engine for a streamed completion
 * @property callPlain calls a plain service
 * @property readLoad asks an engine for its load and hands over null when it does not answer
 */
internal data class BackendClient(
    val complete: (address: String, content: CompletionRequest, listener: BackendListener) -> () -> Unit,
    val callPlain: (address: String, call: AggregatedHttpRequest, listener: BackendListener) -> () -> Unit,
    val readLoad: (address: String, onLoad: (EngineLoad?) -> Unit) -> Unit,
)
