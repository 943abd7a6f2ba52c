package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.BackendServer

/**
 * Options of a platform stand-in.
 *
 * @property port port on the loopback interface; 0 selects a free one
 * @property fencingPools pools that refuse an order with a lower fencing number than one accepted before
 * @property backendServers backend servers available to orders, by pool
 * @property recordLimit maximum number of recorded orders, and of recorded usage reports; the oldest are dropped first
 */
public data class PlatformStandInOptions(
    val port: Int = 0,
    val fencingPools: Set<String> = emptySet(),
    val backendServers: Map<String, List<BackendServer>> = emptyMap(),
    val recordLimit: Int = 100_000,
)
