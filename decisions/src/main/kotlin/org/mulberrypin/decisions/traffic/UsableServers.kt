/** The backend servers that may receive work now, whatever their load. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.cold.maySend
import org.mulberrypin.decisions.cold.slowStartLimit

/** Whether [backend] may be sent a request, task or scoring call now. Every choice of a server starts with these. */
internal fun TrafficState.isUsable(
    backend: Backend,
    nowMilliseconds: Long,
): Boolean =
    isAdmitted(backend) && coldServers.maySend(backend.entry.id, nowMilliseconds) &&
        backend.inFlight < slowStartLimit(backend.entry.slots, nowMilliseconds - returnedMilliseconds(backend))

/** Whether [backend] is listed, is not leaving and is outside the evacuated failure domains. */
internal fun TrafficState.isAdmitted(backend: Backend): Boolean =
    !backend.entry.leaving && backend.entry.id in backends && backend.entry.failureDomain !in evacuatedDomains

/** When this instance saw the server return: by a new start, or as its failure domain was no longer evacuated. */
private fun TrafficState.returnedMilliseconds(backend: Backend): Long =
    maxOf(
        coldServers.servers[backend.entry.id]?.returnedMilliseconds ?: LONG_AGO_MILLISECONDS,
        returnedDomains[backend.entry.failureDomain] ?: LONG_AGO_MILLISECONDS,
    )

/** Before the start of any process, in milliseconds. */
private const val LONG_AGO_MILLISECONDS = Long.MIN_VALUE / 4
