package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.Team

/** Finds out-of-range values, duplicates and references to missing entries in [configuration]. */
internal fun findReferenceFaults(configuration: Configuration): List<String> {
    val teams = configuration.teams.mapTo(HashSet()) { it.name }
    val pools = configuration.pools.associateBy { it.name }
    return configuration.teams.flatMap(::findTeamFaults) +
        configuration.keys.flatMap { findKeyFaults(it, teams) } +
        findRepeatedDigests(configuration.keys) +
        configuration.routes.flatMap { findRouteFaults(it, teams, pools) } +
        configuration.pools.flatMap(::findPoolFaults) +
        findRepeatedBackendServers(configuration.pools)
}

private fun findTeamFaults(team: Team): List<String> =
    listOfNotNull(
        fault("team '${team.name}'.weight", "more than 0", team.weight) { team.weight > 0 },
        fault("team '${team.name}'.tokens_per_second", "0 or more", team.tokensPerSecond) { team.tokensPerSecond >= 0 },
        fault("team '${team.name}'.in_flight_limit", "0 or more", team.inFlightLimit) { team.inFlightLimit >= 0 },
        fault("team '${team.name}'.budget_cents_per_hour", "0 or more", team.budgetCentsPerHour) {
            team.budgetCentsPerHour >= 0
        },
        fault("team '${team.name}'.objective_per_mille", "0 to 1000", team.objectivePerMille) {
            team.objectivePerMille in 0..PER_MILLE
        },
    )

private fun findKeyFaults(
    key: Key,
    teams: Set<String>,
): List<String> =
    listOfNotNull(
        fault("key '${key.name}'.team", "the name of a team", key.team) { key.team in teams },
        fault("key '${key.name}'.sha256", "$DIGEST_LENGTH lower case hexadecimal digits", "another text") {
            isDigest(key.sha256)
        },
    )

private fun findRepeatedDigests(keys: List<Key>): List<String> =
    keys
        .groupBy { it.sha256 }
        .values
        .filter { it.size > 1 }
        .map { duplicates ->
            "keys ${duplicates.joinToString { "'${it.name}'" }}.sha256: expected different digests, found the same"
        }

private fun findRouteFaults(
    route: Route,
    teams: Set<String>,
    pools: Map<String, Pool>,
): List<String> {
    val path = "route '${route.name}'"
    val pool = pools[route.pool]
    val unknownTeams = route.teams.filter { it !in teams }
    return listOfNotNull(
        fault("$path.pool", "the name of a pool", route.pool) { pool != null },
        fault("$path.kind", "${pool?.kind} as its pool", route.kind) { pool == null || pool.kind == route.kind },
        fault("$path.teams", "no teams on a route open to all", route.teams) {
            !route.openToAll || route.teams.isEmpty()
        },
    ) + unknownTeams.map { "$path.teams: expected the name of a team, found '$it'" }
}

private fun findPoolFaults(pool: Pool): List<String> {
    val path = "pool '${pool.name}'"
    val servers = pool.backendServers.flatMap { server ->
        listOfNotNull(
            fault("$path.backend_server '${server.name}'.name", "a name", server.name) { server.name.isNotEmpty() },
            fault("$path.backend_server '${server.name}'.address", "host:port", server.address) {
                ADDRESS.matches(server.address)
            },
            fault(
                "$path.backend_server '${server.name}'.price_cents_per_hour",
                "0 or more",
                server.priceCentsPerHour,
            ) {
                server.priceCentsPerHour >= 0
            },
        )
    }
    return servers + listOfNotNull(
        fault("$path.slots", "1 or more", pool.slots) { pool.slots >= 1 },
        fault("$path.reserved_slots", "0 to less than slots", pool.reservedSlots) {
            pool.reservedSlots in 0 until pool.slots.coerceAtLeast(1)
        },
    )
}

private fun findRepeatedBackendServers(pools: List<Pool>): List<String> =
    pools
        .flatMap { pool -> pool.backendServers.map { it.name } }
        .groupingBy { it }
        .eachCount()
        .filter { it.value > 1 }
        .map { "backend_server '${it.key}': expected a name that occurs once, found it ${it.value} times" }

private fun fault(
    path: String,
    expected: String,
    found: Any,
    isValid: () -> Boolean,
): String? = if (isValid()) null else "$path: expected $expected, found '$found'"

private fun isDigest(text: String): Boolean =
    text.length == DIGEST_LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' }

private val ADDRESS = Regex("""[^\s:]+:\d{1,5}|\[[0-9a-fA-F:.]+]:\d{1,5}""")
private const val DIGEST_LENGTH = 64
private const val PER_MILLE = 1000
