package org.mulberrypin.decisions.requests

import org.mulberrypin.decisions.Transition
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.Pool
import org.mulberrypin.schema.generated.Route
import org.mulberrypin.schema.generated.RouteKind
import org.mulberrypin.schema.generated.RoutePriority
import org.mulberrypin.schema.generated.Team

/** Test configuration: two teams, three engines in three failure domains, and a plain service with two servers. */
internal object RequestFixtures {
    val limits =
        RequestLimits(
            inFlightLimit = 50,
            queueLimit = 20,
            queueTimeoutMilliseconds = 5_000,
            firstChunkTimeoutMilliseconds = 2_000,
            idleTimeoutMilliseconds = 1_000,
            attemptLimit = 3,
            retryRatio = 0.5,
            crashLimit = 2,
            isolationMilliseconds = 60_000,
        )

    val configuration =
        Configuration(
            version = 1,
            teams = listOf(Team(name = "carvers", weight = 1.0), Team(name = "ledger", weight = 3.0)),
            keys = listOf(Key("shop", "carvers"), Key("night", "ledger")),
            routes =
                listOf(
                    Route(name = "sorter", pool = "engines"),
                    Route(name = "rollout", pool = "engines", priority = RoutePriority.ROLLOUT),
                    Route(
                        name = "orders",
                        kind = RouteKind.PLAIN_SERVICE,
                        pool = "shop",
                        repeatableMethods = listOf("GET"),
                    ),
                ),
            pools =
                listOf(
                    Pool(name = "engines", backendServers = servers("engine", 3), slots = 2, model = "sorter"),
                    Pool(
                        name = "shop",
                        kind = RouteKind.PLAIN_SERVICE,
                        backendServers = servers("shop", 2),
                        slots = 2,
                    ),
                ),
        )

    val decide = requestDecision(defaultPolicies())

    fun state(
        configuration: Configuration = this.configuration,
        limits: RequestLimits = this.limits,
    ): RequestState {
        val empty = RequestState(limits, failureDomain = "armor-a")
        return decide(empty, RequestEvent.ConfigurationChanged(configuration), 0).state
    }

    fun arrival(
        request: Long,
        route: String = "sorter",
        team: String = "carvers",
        content: String = "content-$request",
        repeatable: Boolean = route != "orders",
    ): RequestArrival =
        RequestArrival(
            request = request,
            requestId = "request-$request",
            route = route,
            team = team,
            keyName = if (team == "ledger") "night" else "shop",
            priority = if (route == "rollout") RoutePriority.ROLLOUT else RoutePriority.INTERACTIVE,
            contentDigest = content,
            promptPrefixDigest = 0,
            repeatable = repeatable,
            expectedTokens = 100,
            minimumWeightVersion = 0,
            deadlineMilliseconds = 600_000,
            seed = request,
        )

    /** Applies events in order at the same time, and collects all effects. */
    fun run(
        state: RequestState,
        vararg events: RequestEvent,
        nowMilliseconds: Long = 0,
    ): Transition<RequestState, RequestEffect> =
        events.fold(Transition(state)) { result, event ->
            val next = decide(result.state, event, nowMilliseconds)
            Transition(next.state, result.effects + next.effects)
        }

    private fun servers(
        prefix: String,
        count: Int,
    ): List<BackendServer> =
        (1..count).map { number ->
            BackendServer(name = "$prefix-$number", failureDomain = "armor-${"abc"[number - 1]}", address = "$number")
        }
}

internal fun List<RequestEffect>.dispatches(): List<RequestEffect.Dispatch> =
    filterIsInstance<RequestEffect.Dispatch>()

internal fun List<RequestEffect>.replies(): List<RequestReply> =
    filterIsInstance<RequestEffect.Reply>().map { it.reply }
