/**
 * Chooses the backend servers that an instance looks after. The instances of a region share the backend servers of the
 * region, pool by pool: each backend server goes to a number of instances by rendezvous hashing with bounded load. All
 * instances come to the same result from the same list; while their lists differ, only the choices that the difference
 * touches do. Backend servers in a failure domain without live instances are shared out among all instances.
 */
package org.mulberrypin.decisions.membership

import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Pool

/** Names of the backend servers of [pools] that [instance], which must be among [live], looks after. */
public fun chooseBackendServers(
    instance: String,
    live: List<InstanceEntry>,
    pools: List<Pool>,
): Set<String> {
    val region = live.firstOrNull { it.name == instance }?.region ?: return emptySet()
    val neighbours = live.filter { it.region == region }
    val domains = neighbours.mapTo(HashSet()) { it.failureDomain }
    val knownDomains = live.mapTo(HashSet()) { it.failureDomain }
    val least = maxOf(LEAST_IN_POOL, LEAST_IN_ALL / pools.size.coerceAtLeast(1))
    return pools.flatMapTo(HashSet()) { pool ->
        val (known, orphaned) = pool.backendServers.partition { it.failureDomain in knownDomains }
        val local = known.filter { it.failureDomain in domains }
        val own = cover(instance, neighbours, local, least) + cover(instance, live, orphaned, least = 0)
        own.ifEmpty { chooseRemote(instance, pool.backendServers, least) }
    }
}

/** The [servers] that fall to [instance] when each is covered by several of [instances]. */
private fun cover(
    instance: String,
    instances: List<InstanceEntry>,
    servers: List<BackendServer>,
    least: Int,
): List<String> {
    val coverage = coverageOf(instances.size, servers.size, least)
    if (coverage >= instances.size) return servers.map { it.name }
    val names = instances.map { it.name }.sorted()
    val hashes = LongArray(names.size) { nameHash(names[it]) }
    val bound = ceilingOf(LOAD_NUMERATOR * coverage * servers.size, LOAD_DENOMINATOR * names.size)
    val loads = IntArray(names.size)
    val own = names.indexOf(instance)
    return servers
        .sortedWith(compareBy({ nameHash(it.name) }, { it.name }))
        .filter { server -> own in assign(nameHash(server.name), hashes, loads, coverage, bound) }
        .map { it.name }
}

/** Instances that cover each backend server: enough for its safety, and so many that each instance has a choice. */
public fun coverageOf(
    instances: Int,
    servers: Int,
    least: Int,
): Int {
    if (servers == 0) return LEAST_COVERAGE
    return maxOf(LEAST_COVERAGE, ceilingOf(instances * least, servers)).coerceAtMost(instances)
}

/** Takes the highest scores first; full instances are passed over unless too few others are left. */
private fun assign(
    serverHash: Long,
    hashes: LongArray,
    loads: IntArray,
    coverage: Int,
    bound: Int,
): List<Int> {
    val ranked = hashes.indices.sortedByDescending { scoreOf(serverHash, hashes[it]) }
    val (free, full) = ranked.partition { loads[it] < bound }
    val chosen = (free + full).take(coverage)
    chosen.forEach { loads[it]++ }
    return chosen
}

/** Backend servers of a pool that has none in the region of [instance]. */
private fun chooseRemote(
    instance: String,
    servers: List<BackendServer>,
    least: Int,
): List<String> =
    servers
        .map { it.name }
        .sortedByDescending { rendezvousScore(instance, it) }
        .take(least)

private fun ceilingOf(
    dividend: Int,
    divisor: Int,
): Int = (dividend + divisor - 1) / divisor

/** Instances that cover each backend server at least, if there are as many in its region. */
public const val LEAST_COVERAGE: Int = 3

private const val LEAST_IN_POOL = 4
private const val LEAST_IN_ALL = 32
private const val LOAD_NUMERATOR = 5
private const val LOAD_DENOMINATOR = 4
