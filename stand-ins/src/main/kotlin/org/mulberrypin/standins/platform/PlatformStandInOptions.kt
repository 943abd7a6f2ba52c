package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.BackendServer

/**
 * How a platform stand-in behaves.
 *
 * @property port port on the loopback interface; 0 takes a free one
 * @property fencingPools pools whose orders are refused when their fencing number is older than one seen before
 * @property backendServers backend servers that orders can get, by pool
 * @property recordLimit reports and orders that are kept for inspection at most, each; the oldest go first
 */
public data class PlatformStandInOptions(
    val port: Int = 0,
    val fencingPools: Set<String> = emptySet(),
    val backendServers: Map<String, List<BackendServer>> = emptyMap(),
    val recordLimit: Int = 100_000,
)
