package org.mulberrypin.service.explanations

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that records why decisions were made and answers queries about them.
 *
 * @property explain records an explanation; never blocks, and drops it when the ring is full
 * @property routes adds the HTTP endpoints for operators and callers to a server
 * @property handlePeer answers a peer's query from the records of this instance only
 * @property peersChanged replaces the list of instances; the list may or may not include this one
 * @property stop stops the duty and waits for its thread
 */
public data class ExplanationPart(
    val explain: (Explanation) -> Unit,
    val routes: ExplanationRoutes,
    val handlePeer: PeerHandler<ExplanationQuestion, ExplanationAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)

/** Adds routes to a server; the functions authenticate the sender of a request by its Authorization header. */
public typealias ExplanationRoutes = (
    server: ServerBuilder,
    authenticate: (authorizationHeader: String?) -> Caller?,
    authenticateOperator: (authorizationHeader: String?) -> Boolean,
) -> Unit
