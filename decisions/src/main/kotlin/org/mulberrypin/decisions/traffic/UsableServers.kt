/** The backend servers that may receive work now, whatever their load. */
package org.mulberrypin.decisions.traffic

/** Whether [backend] may be sent a request, task or scoring call. Every choice of a server starts with these. */
internal fun TrafficState.isUsable(backend: Backend): Boolean = isAdmitted(backend)

/** Whether [backend] is listed, is not leaving and is outside the evacuated failure domains. */
internal fun TrafficState.isAdmitted(backend: Backend): Boolean =
    !backend.entry.leaving && backend.entry.id in backends && backend.entry.failureDomain !in evacuatedDomains
