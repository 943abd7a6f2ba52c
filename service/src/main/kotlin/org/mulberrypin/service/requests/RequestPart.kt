/**
 * The operations of the request duty. The front ends and the rollout part access the duty only through them.
 */
package org.mulberrypin.service.requests

import org.mulberrypin.schema.generated.Configuration

/**
 * Operations on the request duty. None of them blocks, except [stop].
 *
 * @property nextRequestNumber returns a request number that is unique within this process
 * @property submit submits a completion request; returns false if the ring is at least half full, and the request is
 *   not run
 * @property submitServiceCall submits a call to a plain service; returns false in the same case, and the call is not
 *   run
 * @property cancel cancels a request whose caller has disconnected
 * @property configurationChanged applies a new configuration
 * @property instancesChanged sets the number of live instances
 * @property configurationConfirmedChanged sets whether the configuration is known to be in force
 * @property crashReported reports the digest of a request that was running at a backend server when it crashed, as
 *   observed by another instance
 * @property drain stops admitting requests; running requests continue
 * @property inFlight returns the number of queued and running requests
 * @property stop stops the duty and waits a limited time for its thread to end
 */
public data class RequestPart(
    val nextRequestNumber: () -> Long,
    val submit: (RequestSubmission) -> Boolean,
    val submitServiceCall: (ServiceSubmission) -> Boolean,
    val cancel: (request: Long) -> Unit,
    val configurationChanged: (Configuration) -> Unit,
    val instancesChanged: (Int) -> Unit,
    val configurationConfirmedChanged: (Boolean) -> Unit,
    val crashReported: (contentDigest: String, server: String) -> Unit,
    val drain: () -> Unit,
    val inFlight: () -> Int,
    val stop: () -> Unit,
)
