package org.mulberrypin.service.membership

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * The part of an entry instance that knows the other instances. All functions may be called from any thread and none
 * blocks, apart from [stop].
 *
 * @property register puts this instance into the platform's list, once it listens at its addresses
 * @property leave marks this instance as leaving in the platform's list
 * @property live this instance and the others that are taken to serve
 * @property backendServers names of the backend servers that this instance looks after; computed anew for each call
 * @property stop removes a leaving instance from the list, ends the duties and waits for them
 */
public data class MembershipPart(
    val register: (address: String, peerAddress: String) -> Unit,
    val leave: () -> Unit,
    val live: () -> List<InstanceEntry>,
    val backendServers: (Configuration) -> List<String>,
    val stop: () -> Unit,
)
