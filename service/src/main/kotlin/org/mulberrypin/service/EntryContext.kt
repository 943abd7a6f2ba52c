/**
 * The shared dependencies of the parts of an entry instance. Each part receives them in its factory function. Parts do
 * not access each other's state; they only call the function types that they are given.
 */
package org.mulberrypin.service

import io.micrometer.core.instrument.MeterRegistry
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.service.peers.PeerClient

/**
 * Dependencies of the parts of one entry instance.
 *
 * @property incarnation distinguishes successive starts of an instance with the same name
 * @property explain records the reason for a decision; never blocks, and drops the record if the ring is full
 */
public data class EntryContext(
    val settings: EntrySettings,
    val incarnation: Long,
    val clock: ServiceClock,
    val platform: Platform,
    val peers: PeerClient,
    val metrics: MeterRegistry,
    val explain: (Explanation) -> Unit,
)
