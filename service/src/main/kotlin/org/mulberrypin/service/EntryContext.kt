/**
 * What every part of an entry instance is built from. A part receives the context in its factory function and keeps
 * what it needs; parts never reach into each other but call the function types they were given.
 */
package org.mulberrypin.service

import io.micrometer.core.instrument.MeterRegistry
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.Explanation
import org.mulberrypin.service.peers.PeerClient

/**
 * The surroundings of the parts of one entry instance.
 *
 * @property incarnation differs between two starts of an instance under the same name
 * @property explain records why something was decided; never blocks, and drops the record when its ring is full
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
