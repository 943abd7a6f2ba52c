/** Builds the configuration of the demo: two teams, their keys, an engine pool and a plain service. */
package org.mulberrypin.command.demo

import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.KeyRole
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.Team

/**
 * Builds the patch that creates the configuration of the demo.
 *
 * @param callerSha256 SHA-256 digest of the callers' key, in hexadecimal
 * @param trainerSha256 SHA-256 digest of the trainer's key, in hexadecimal
 */
internal fun demoPatch(
    network: DemoNetwork,
    callerSha256: String,
    trainerSha256: String,
): ConfigurationPatch =
    ConfigurationPatch(
        expectedVersion = 0,
        author = "demo",
        reason = "first configuration",
        changes =
            listOf(
                put(Team(name = "shop", weight = 1.0, objectivePerMille = 990, targetMilliseconds = 500)),
                put(Team(name = "grain-sorters", weight = 1.0)),
                put(Key("shop-app", "shop", callerSha256)),
                put(Key("sorter-trainer", "grain-sorters", trainerSha256, KeyRole.TRAINER)),
                put(enginePool(network)),
                put(shopPool(network)),
                put(Route(name = DEMO_MODEL, pool = DEMO_MODEL)),
                put(
                    Route(
                        name = DEMO_SERVICE,
                        kind = RouteKind.PLAIN_SERVICE,
                        pool = DEMO_SERVICE,
                        repeatableMethods = listOf("GET"),
                    ),
                ),
            ),
    )

private fun enginePool(network: DemoNetwork): Pool =
    Pool(
        name = DEMO_MODEL,
        backendServers =
            network.engines.mapIndexed { number, engine ->
                backendServer("engine-$number", failureDomains[number % failureDomains.size], engine.address)
            },
        slots = 8,
        reservedSlots = 2,
        fencing = true,
        model = DEMO_MODEL,
    )

private fun shopPool(network: DemoNetwork): Pool =
    Pool(
        name = DEMO_SERVICE,
        kind = RouteKind.PLAIN_SERVICE,
        backendServers = listOf(backendServer("shop-0", failureDomains.first(), network.shop.address)),
        slots = 16,
    )

private fun backendServer(
    name: String,
    failureDomain: String,
    address: String,
): BackendServer = BackendServer(name, failureDomain, address, priceCentsPerHour = 60)

private fun put(team: Team) = ConfigurationChange(ChangeKind.PUT, ChangeSubject.TEAM, team.name, team = team)

private fun put(key: Key) = ConfigurationChange(ChangeKind.PUT, ChangeSubject.KEY, key.name, key = key)

private fun put(pool: Pool) = ConfigurationChange(ChangeKind.PUT, ChangeSubject.POOL, pool.name, pool = pool)

private fun put(route: Route) = ConfigurationChange(ChangeKind.PUT, ChangeSubject.ROUTE, route.name, route = route)

internal const val DEMO_SERVICE = "shop"
