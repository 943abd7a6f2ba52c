package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestBook
import org.mulberrypin.decisions.requests.RequestEffect
import java.util.ArrayDeque

/**
 * State of the request duty. Accessed only by the duty thread, except that other threads read the size of [book].
 *
 * @property activeRequests state of each request by request number; bounded by the same limits as [book]
 * @property unrecordedUsage usage records not yet accepted by the billing duty's ring, oldest first; never dropped
 */
internal data class RequestDutyState(
    @Volatile var book: RequestBook,
    val activeRequests: HashMap<Long, ActiveRequest> = HashMap(),
    val unrecordedUsage: ArrayDeque<RequestEffect.RecordUsage> = ArrayDeque(),
)
