package org.mulberrypin.service.frontend

import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.requests.RequestPart

/** What the front ends for callers are built from. */
internal data class FrontEndParts(
    val requests: RequestPart,
    val authenticate: (String?) -> Caller?,
    val configuration: () -> Configuration,
    val certain: () -> Boolean,
    val attempts: AttemptPart,
    val arrivals: ArrivalFactory,
)
