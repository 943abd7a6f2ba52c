/**
 * The part of an entry instance that carries requests. The front end for callers and the part for rollouts use it
 * through this surface only.
 */
package org.mulberrypin.service.requests

import org.mulberrypin.schema.generated.Configuration

/**
 * Operations on the duty that carries requests. None of them blocks.
 *
 * @property nextNumber answers a request number that differs between all requests of this process
 * @property submit hands in a request for a model; false means that the ring is full and the request was not run
 * @property submitPlain hands in a call of a plain service; false means the same
 * @property cancel tells that the caller of a request has gone
 * @property configurationChanged puts a configuration in force
 * @property instancesChanged tells the number of live instances
 * @property certaintyChanged tells whether the configuration is known to be in force
 * @property crashReported tells of a content that was running when a backend server crashed at another instance
 * @property drain stops admission; requests under way continue
 * @property inFlight the number of requests that wait or are under way
 * @property stop ends the duty
 */
public data class RequestPart(
    val nextNumber: () -> Long,
    val submit: (RequestSubmission) -> Boolean,
    val submitPlain: (PlainSubmission) -> Boolean,
    val cancel: (request: Long) -> Unit,
    val configurationChanged: (Configuration) -> Unit,
    val instancesChanged: (Int) -> Unit,
    val certaintyChanged: (Boolean) -> Unit,
    val crashReported: (contentDigest: String, server: String) -> Unit,
    val drain: () -> Unit,
    val inFlight: () -> Int,
    val stop: () -> Unit,
)
