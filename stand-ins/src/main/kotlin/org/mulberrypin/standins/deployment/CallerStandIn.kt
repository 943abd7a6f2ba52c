/** Requests of callers and trainers to an entry instance, and configurations as operators write them. */
package org.mulberrypin.standins.deployment

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** The host name of all routes. */
public const val ROUTE_HOST: String = "shop.example"

/** The API key of the only team. */
public const val CALLER_KEY: String = "key-1"

/**
 * A caller of one entry instance.
 *
 * @property request sends a request with an identifier and, unless key is null, an API key
 * @property submitJob submits a job with a number of tasks and a minimum weight version; returns the HTTP status
 * @property readResults returns all results of a job, or an empty list if the instance responds with an error
 * @property endJob sends the DELETE request that ends a job; returns the HTTP status
 */
public data class CallerStandIn(
    val request: (path: String, id: String, key: String?) -> AggregatedHttpResponse,
    val submitJob: (job: String, tasks: Int, minimumVersion: Int) -> Int,
    val readResults: (job: String) -> List<JsonObject>,
    val endJob: (job: String) -> Int,
)

/** Creates a caller of the instance that listens on [port] of the loopback interface. */
public fun callerStandIn(port: Int): CallerStandIn {
    val client = WebClient.of("h1c://127.0.0.1:$port")
    return CallerStandIn(
        request = { path, id, key -> callInstance(client, HttpMethod.POST, path, id, key) },
        submitJob = { job, tasks, minimumVersion ->
            val body = submissionText(tasks, minimumVersion)
            callInstance(client, HttpMethod.POST, "/sort/$job", job, CALLER_KEY, body).status().code()
        },
        readResults = { job -> parseResults(callInstance(client, HttpMethod.GET, resultsPath(job), "", CALLER_KEY)) },
        endJob = { job ->
            callInstance(client, HttpMethod.DELETE, "/mulberrypin/lots/$job", "", CALLER_KEY).status().code()
        },
    )
}

/** The path of all results of a job. */
public fun resultsPath(job: String): String = "/mulberrypin/lots/$job?after=0"

/** The text of a GET request without a body, with [path] exactly as given, not normalised by an HTTP library. */
public fun rawRequest(
    path: String,
    id: String,
): String =
    "GET $path HTTP/1.1\r\nHost: $ROUTE_HOST\r\nAuthorization: Bearer $CALLER_KEY\r\n" +
        "Mulberrypin-Request-Id: $id\r\n\r\n"

/** Sends a request with [client] and waits for the complete response; throws if the connection closes before that. */
public fun callInstance(
    client: WebClient,
    method: HttpMethod,
    path: String,
    id: String,
    key: String?,
    body: String = "body",
): AggregatedHttpResponse {
    val headers = RequestHeaders.builder(method, path).authority(ROUTE_HOST)
    if (id.isNotEmpty()) headers.set("mulberrypin-request-id", id)
    if (key != null) headers.set("authorization", "Bearer $key")
    return client
        .execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
        .aggregate()
        .join()
}

private fun parseResults(answer: AggregatedHttpResponse): List<JsonObject> {
    if (!answer.status().isSuccess) return emptyList()
    val root = Json.parseToJsonElement(answer.contentUtf8()).jsonObject
    return root.getValue("results").jsonArray.map { it.jsonObject }
}

/** The JSON of a job submission for one model; the identifiers of its tasks start with [prefix]. */
public fun submissionText(
    tasks: Int,
    minimumVersion: Int,
    prefix: String = "",
): String {
    val taskItems = (1..tasks).joinToString(",") {
        """{"id":"${prefix}task-$it","path":"/sort/$it","headers":{"Mulberrypin-Model":"sorter"},"body":"YQ==",""" +
            """"tokens":10,"group":"${prefix}g${it / 2}","scorerUrl":{"id":"${prefix}score-$it",""" +
            """"host":"$ROUTE_HOST","path":"/scores/$it","body":"YQ=="}}"""
    }
    return """{"step":1,"model":"sorter","minVersion":$minimumVersion,"targetCount":1,"items":[$taskItems]}"""
}

/** The JSON of a configuration with a plain pool, an engine pool and one team; plain requests use [ordersPrefix]. */
public fun configurationText(
    version: Int,
    ordersPrefix: String = "/orders/",
): String {
    val orders = routeJson("orders", ordersPrefix, "idempotent", "plain", isPublic = false)
    val payments = routeJson("payments", "/payments/", "non_idempotent", "plain", isPublic = false)
    val scores = routeJson("scores", "/scores/", "idempotent", "plain", isPublic = true)
    val sort = routeJson("sort", "/sort/", "rollout", "engines", isPublic = false)
    val services = """{"name":"plain"},{"name":"engines","engine":{"slots":8,"models":[{"name":"sorter"}]}}"""
    val tenants = """{"name":"team-1","apiKeys":["$CALLER_KEY"]}"""
    val routes = "$orders,$payments,$scores,$sort"
    return """{"version":$version,"routes":[$routes],"services":[$services],"tenants":[$tenants]}"""
}

private fun routeJson(
    name: String,
    prefix: String,
    kind: String,
    service: String,
    isPublic: Boolean,
): String =
    """{"name":"$name","host":"$ROUTE_HOST","prefix":"$prefix","kind":"$kind","timeoutMs":3000,"goalMs":150,""" +
        """"service":"$service","maxAttempts":3,"queueTtlS":40,"public":$isPublic}"""
