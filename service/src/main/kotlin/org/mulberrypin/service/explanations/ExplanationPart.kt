package org.mulberrypin.service.explanations

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.schema.generated.ExplanationAnswer
import org.mulberrypin.schema.generated.ExplanationQuestion
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that keeps the reasons for decisions and answers questions about them.
 *
 * @property explain records a reason; never blocks, and drops the record when the ring is full
 * @property routes adds the interfaces for operators and callers to a server
 * @property handlePeer answers a peer from the records of this instance alone
 * @property peersChanged takes in the platform's list of instances, with or without this instance
 * @property stop ends the duty
 */
public data class ExplanationPart(
    val explain: (Explanation) -> Unit,
    val routes: ExplanationRoutes,
    val handlePeer: PeerHandler<ExplanationQuestion, ExplanationAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)

/** Adds routes to a server; the functions tell who sends a request by its Authorization header. */
public typealias ExplanationRoutes = (
    server: ServerBuilder,
    authenticate: (authorizationHeader: String?) -> Caller?,
    authenticateOperator: (authorizationHeader: String?) -> Boolean,
) -> Unit
