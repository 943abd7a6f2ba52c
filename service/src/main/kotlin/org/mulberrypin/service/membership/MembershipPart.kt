package org.mulberrypin.service.membership

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * The part of an entry instance that tracks the other instances and their health. All functions are thread-safe, and
 * only [stop] blocks.
 *
 * @property register adds this instance to the platform's list; called once it listens at its addresses
 * @property leave marks this instance as leaving in the platform's list
 * @property live returns the instances that are considered live, this one included
 * @property backendServers returns the names of the backend servers assigned to this instance; computed on each call
 * @property stop stops the duties, waits for their threads, and removes this instance from the list if it is marked as
 * leaving
 */
public data class MembershipPart(
    val register: (address: String, peerAddress: String) -> Unit,
    val leave: () -> Unit,
    val live: () -> List<InstanceEntry>,
    val backendServers: (Configuration) -> List<String>,
    val stop: () -> Unit,
)
