package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.decisions.requests.RequestState
import java.util.ArrayDeque

/**
 * State of the request duty. Accessed only by the duty thread, except that other threads read the size of
 * [decisionState].
 *
 * @property activeRequests state of each request by request number; bounded by the same limits as [decisionState]
 * @property unrecordedUsage usage records not yet accepted by the billing duty's ring, oldest first; never dropped
 */
internal data class RequestDutyState(
    @Volatile var decisionState: RequestState,
    val activeRequests: HashMap<Long, ActiveRequest> = HashMap(),
    val unrecordedUsage: ArrayDeque<RequestEffect.RecordUsage> = ArrayDeque(),
)
