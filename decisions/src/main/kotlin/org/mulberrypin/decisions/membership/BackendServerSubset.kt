/**
 * Deterministic subsetting: chooses the backend servers that are assigned to an instance. For each pool, the instances
 * of a region divide the backend servers of the region; each server is assigned to several instances by rendezvous
 * hashing with bounded loads. All instances with the same list compute the same assignment; if their lists differ, only
 * the affected assignments differ. Servers in a failure domain without live instances are divided among all instances.
 */
package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Pool

/** Returns the names of the backend servers of [pools] assigned to [instance]; empty if it is not in [live]. */
public fun chooseBackendServers(
    instance: String,
    live: List<InstanceEntry>,
    pools: List<Pool>,
): Set<String> {
    val region = live.firstOrNull { it.name == instance }?.region ?: return emptySet()
    val regionInstances = live.filter { it.region == region }
    val regionDomains = regionInstances.mapTo(HashSet()) { it.failureDomain }
    val liveDomains = live.mapTo(HashSet()) { it.failureDomain }
    val minimum = maxOf(MIN_SERVERS_PER_POOL, MIN_SERVERS_IN_TOTAL / pools.size.coerceAtLeast(1))
    return pools.flatMapTo(HashSet()) { pool ->
        val (reachable, orphaned) = pool.backendServers.partition { it.failureDomain in liveDomains }
        val local = reachable.filter { it.failureDomain in regionDomains }
        val own =
            assignedServers(instance, regionInstances, local, minimum) +
                assignedServers(instance, live, orphaned, minimum = 0)
        own.ifEmpty { chooseRemoteServers(instance, pool.backendServers, minimum) }
    }
}

/** Returns the [servers] that are assigned to [instance] when each is covered by several of [instances]. */
private fun assignedServers(
    instance: String,
    instances: List<InstanceEntry>,
    servers: List<BackendServer>,
    minimum: Int,
): List<String> {
    val coverage = coverageOf(instances.size, servers.size, minimum)
    if (coverage >= instances.size) return servers.map { it.name }
    val names = instances.map { it.name }.sorted()
    val hashes = LongArray(names.size) { nameHash(names[it]) }
    val maxLoad = ceilingDivision(LOAD_FACTOR_NUMERATOR * coverage * servers.size, LOAD_FACTOR_DENOMINATOR * names.size)
    val loads = IntArray(names.size)
    val ownIndex = names.indexOf(instance)
    return servers
        .sortedWith(compareBy({ nameHash(it.name) }, { it.name }))
        .filter { server -> ownIndex in coveringInstances(nameHash(server.name), hashes, loads, coverage, maxLoad) }
        .map { it.name }
}

/**
 * Returns the number of instances that cover each backend server: at least [MIN_COVERAGE] for redundancy, and enough
 * that each instance is assigned at least [minimum] servers on average.
 */
public fun coverageOf(
    instances: Int,
    servers: Int,
    minimum: Int,
): Int {
    if (servers == 0) return MIN_COVERAGE
    return maxOf(MIN_COVERAGE, ceilingDivision(instances * minimum, servers)).coerceAtMost(instances)
}

/** Returns the instances, by index, with the highest scores; full ones only if too few others are left. */
private fun coveringInstances(
    serverHash: Long,
    hashes: LongArray,
    loads: IntArray,
    coverage: Int,
    maxLoad: Int,
): List<Int> {
    val ranked = hashes.indices.sortedByDescending { scoreOf(serverHash, hashes[it]) }
    val (free, full) = ranked.partition { loads[it] < maxLoad }
    val chosen = (free + full).take(coverage)
    chosen.forEach { loads[it]++ }
    return chosen
}

/** Returns the servers for an instance to which none is assigned, such as in a region without servers of the pool. */
private fun chooseRemoteServers(
    instance: String,
    servers: List<BackendServer>,
    minimum: Int,
): List<String> =
    servers
        .map { it.name }
        .sortedByDescending { rendezvousScore(instance, it) }
        .take(minimum)

private fun ceilingDivision(
    dividend: Int,
    divisor: Int,
): Int = (dividend + divisor - 1) / divisor

/** Minimum number of instances that cover each backend server, if its region has that many. */
public const val MIN_COVERAGE: Int = 3

/** Minimum number of backend servers of each pool per instance. */
private const val MIN_SERVERS_PER_POOL = 4

/** Minimum number of backend servers per instance, divided evenly between the pools. */
private const val MIN_SERVERS_IN_TOTAL = 32

/** Maximum load of an instance relative to the mean, as a fraction: 5/4. */
private const val LOAD_FACTOR_NUMERATOR = 5
private const val LOAD_FACTOR_DENOMINATOR = 4
