package org.mulberrypin.service.configuration

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that follows the numbered configuration. All functions may be called from any thread
 * and none blocks, apart from [stop].
 *
 * @property current the configuration in force; version 0 before the first read of the table service
 * @property certain true while requests may be served under it; read anew for each request
 * @property authenticate finds the caller to whom the key of an Authorization header belongs, or null
 * @property authenticateOperator true when an Authorization header carries the operators' key
 * @property routes adds the operators' HTTP interface to a server
 * @property handleAnnounce handles the announcement of a peer
 * @property peersChanged takes in the platform's list of instances, with or without this instance
 * @property stop ends the duties and waits for them
 */
public data class ConfigurationPart(
    val current: () -> Configuration,
    val certain: () -> Boolean,
    val authenticate: (authorizationHeader: String?) -> Caller?,
    val authenticateOperator: (authorizationHeader: String?) -> Boolean,
    val routes: (ServerBuilder) -> Unit,
    val handleAnnounce: PeerHandler<VersionAnnouncement, VersionConfirmation>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)
