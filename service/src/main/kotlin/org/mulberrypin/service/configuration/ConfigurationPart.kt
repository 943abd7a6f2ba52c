package org.mulberrypin.service.configuration

import com.linecorp.armeria.server.ServerBuilder
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.VersionAnnouncement
import org.mulberrypin.schema.generated.VersionConfirmation
import org.mulberrypin.service.peers.PeerHandler

/**
 * The part of an entry instance that tracks the versioned configuration. All functions are thread-safe, and only [stop]
 * blocks.
 *
 * @property current returns the current configuration; version 0 until the table service was first read
 * @property isConfigurationConfirmed true while this instance may serve requests with the current configuration;
 * checked for each request, since it can change at any time
 * @property authenticate returns the caller that owns the key in an Authorization header, or null for an unknown key
 * @property authenticateOperator true when an Authorization header contains the operators' key
 * @property routes adds the operators' HTTP endpoints to a server
 * @property handleAnnounce handles a version announcement from a peer
 * @property peersChanged replaces the list of instances; the list may or may not include this one
 * @property stop stops the duties and waits for their threads
 */
public data class ConfigurationPart(
    val current: () -> Configuration,
    val isConfigurationConfirmed: () -> Boolean,
    val authenticate: (authorizationHeader: String?) -> Caller?,
    val authenticateOperator: (authorizationHeader: String?) -> Boolean,
    val routes: (ServerBuilder) -> Unit,
    val handleAnnounce: PeerHandler<VersionAnnouncement, VersionConfirmation>,
    val peersChanged: (List<InstanceEntry>) -> Unit,
    val stop: () -> Unit,
)
