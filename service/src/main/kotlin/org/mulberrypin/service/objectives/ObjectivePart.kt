package org.mulberrypin.service.objectives

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.objectives.ObjectiveEvent
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.BurnQuestion
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that measures requests against the objectives of their teams.
 *
 * @property record counts a measured request; false means that the ring is full and the request is not counted
 * @property configurationChanged puts a configuration in force
 * @property routes adds the interface for operators to a server
 * @property handlePeer answers a peer with the counts of this instance
 * @property peersChanged takes in the platform's list of instances, with or without this instance
 * @property stop ends the duty
 */
public data class ObjectivePart(
    val record: (ObjectiveEvent) -> Boolean,
    val configurationChanged: (Configuration) -> Unit,
    val routes: (server: ServerBuilder, authenticateOperator: (authorizationHeader: String?) -> Boolean) -> Unit,
    val handlePeer: PeerHandler<BurnQuestion, BurnAnswer>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)
