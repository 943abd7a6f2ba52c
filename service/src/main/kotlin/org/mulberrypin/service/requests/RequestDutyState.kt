package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestBook
import org.mulberrypin.decisions.requests.RequestEffect
import java.util.ArrayDeque

/**
 * What the request duty owns; touched by its thread only, but for the count that others read.
 *
 * @property flows what is kept for each request, by its number; as bounded as the book
 * @property unrecorded usage that the usage duty's ring had no room for, oldest first; never dropped
 */
internal data class RequestDutyState(
    @Volatile var book: RequestBook,
    val flows: HashMap<Long, RequestFlow> = HashMap(),
    val unrecorded: ArrayDeque<RequestEffect.RecordUsage> = ArrayDeque(),
)
