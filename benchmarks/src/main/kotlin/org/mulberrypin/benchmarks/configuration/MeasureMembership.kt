/** Measures how backend servers are distributed among instances and how many are reassigned when instances leave. */
package org.mulberrypin.benchmarks.configuration

import org.mulberrypin.decisions.membership.chooseBackendServers
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.Pool
import kotlin.system.measureNanoTime

/** Prints one line for each size. */
internal fun measureMembership() {
    println("# Assigned backend servers, ${POOLS[0]} pools at the first size, ${POOLS.last()} at the last")
    println(
        "instances engines regions coverage_min coverage_avg own_min own_max  one_instance_goes_moved  " +
            "domain_goes_moved  milliseconds/instance",
    )
    SIZES.forEachIndexed { index, (instances, engines) ->
        measureSize(instances, engines, REGIONS[index], POOLS[index])
    }
}

private fun measureSize(
    instances: Int,
    engines: Int,
    regions: Int,
    pools: Int,
) {
    val live = List(instances) { newEntry(it, regions) }
    val configured = List(pools) { pool -> newPool(pool, pools, engines, regions) }
    lateinit var before: Map<String, Set<String>>
    val nanoseconds = measureNanoTime { before = assign(live, configured) }
    val coverage = configured
        .flatMap { it.backendServers }
        .map { server -> before.values.count { server.name in it } }
    val reassignedByInstance = countReassigned(before, assign(live.drop(1), configured))
    val remaining = live.filter { it.failureDomain != live[0].failureDomain }
    val reassignedByDomain = countReassigned(before, assign(remaining, configured))
    println(
        "%9d %7d %7d %12d %12.1f %7d %7d %24d %18d %22.1f".format(
            instances,
            engines,
            regions,
            coverage.min(),
            coverage.average(),
            before.values.minOf { it.size },
            before.values.maxOf { it.size },
            reassignedByInstance,
            reassignedByDomain,
            nanoseconds / NANOSECONDS_PER_MILLISECOND / instances,
        ),
    )
}

private fun assign(
    live: List<InstanceEntry>,
    pools: List<Pool>,
): Map<String, Set<String>> = live.associate { it.name to chooseBackendServers(it.name, live, pools) }

/** Backend servers newly assigned to an instance, summed over the instances in [after]. */
private fun countReassigned(
    before: Map<String, Set<String>>,
    after: Map<String, Set<String>>,
): Int = after.entries.sumOf { (instance, chosen) -> (chosen - before.getValue(instance)).size }

private fun newEntry(
    number: Int,
    regions: Int,
): InstanceEntry {
    val domain = number % (regions * DOMAINS_PER_REGION)
    return InstanceEntry(
        name = "instance-$number",
        region = "region-${domain % regions}",
        failureDomain = "domain-$domain",
    )
}

private fun newPool(
    pool: Int,
    pools: Int,
    engines: Int,
    regions: Int,
): Pool =
    Pool(
        name = "pool-$pool",
        backendServers = (pool until engines step pools).map {
            BackendServer(name = "engine-$it", failureDomain = "domain-${it / pools % (regions * DOMAINS_PER_REGION)}")
        },
    )

private val SIZES = listOf(12 to 20, 100 to 800, 650 to 4_900)
private val REGIONS = listOf(1, 2, 6)
private val POOLS = listOf(2, 4, 7)
private const val DOMAINS_PER_REGION = 2
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
