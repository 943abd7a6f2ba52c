package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.schema.generated.Explanation

/**
 * Callbacks that pass effects of the request duty to other duties. None of them blocks.
 *
 * @property recordUsage records usage for billing; returns false if the ring is full, in which case the request duty
 *   retries later
 * @property recordObjective records a request for the latency objectives; dropped if the ring is full
 * @property reportCrash reports a backend server crash to the peers
 * @property explain records the reason for a decision; dropped if the ring is full
 */
public data class RequestOutputs(
    val recordUsage: (RequestEffect.RecordUsage) -> Boolean,
    val recordObjective: (RequestEffect.RecordObjective) -> Unit,
    val reportCrash: (RequestEffect.ReportCrash) -> Unit,
    val explain: (Explanation) -> Unit,
)
