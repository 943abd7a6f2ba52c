package org.mulberrypin.service.objectives

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.objectives.ObjectiveEvent
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that measures how well requests meet the objectives of their teams.
 *
 * @property record counts a measured request; false if the ring is full and the request was not counted
 * @property configurationChanged applies a new configuration
 * @property routes adds the HTTP endpoint for operators to a server
 * @property handlePeer returns the counts of this instance to a peer
 * @property peersChanged replaces the list of instances; the list may or may not include this one
 * @property stop stops the duty and waits for its thread
 */
public data class ObjectivePart(
    val record: (ObjectiveEvent) -> Boolean,
    val configurationChanged: (Configuration) -> Unit,
    val routes: (server: ServerBuilder, authenticateOperator: (authorizationHeader: String?) -> Boolean) -> Unit,
    val handlePeer: PeerHandler<BurnQuestion, BurnAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)
