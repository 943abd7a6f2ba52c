package org.mulberrypin.service.requests

import com.linecorp.armeria.common.AggregatedHttpRequest
import org.mulberrypin.schema.generated.CompletionRequest
import org.mulberrypin.schema.generated.EngineLoad

/**
 * Client for backend servers. Servers are addressed as host:port. The functions never block; [streamCompletion] and
 * [callService] return a function that cancels the call by closing its connection.
 *
 * @property streamCompletion requests a streamed completion from a model engine
 * @property callService calls a plain service
 * @property fetchLoad requests the load report of an engine; passes null if no valid report is received
 */
internal data class BackendClient(
    val streamCompletion: (address: String, content: CompletionRequest, listener: BackendListener) -> () -> Unit,
    val callService: (address: String, call: AggregatedHttpRequest, listener: BackendListener) -> () -> Unit,
    val fetchLoad: (address: String, onLoad: (EngineLoad?) -> Unit) -> Unit,
)
