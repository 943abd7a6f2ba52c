package org.mulberrypin.service.frontend

import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.requests.RequestPart

/** The dependencies of the HTTP endpoints for callers. */
internal data class FrontEndDependencies(
    val requests: RequestPart,
    val authenticate: (String?) -> Caller?,
    val configuration: () -> Configuration,
    val isConfigurationConfirmed: () -> Boolean,
    val attempts: AttemptPart,
    val arrivals: ArrivalFactory,
)
