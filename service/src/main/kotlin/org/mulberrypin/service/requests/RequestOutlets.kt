package org.mulberrypin.service.requests

import org.mulberrypin.decisions.requests.RequestEffect
import org.mulberrypin.schema.generated.Explanation

/**
 * Where the request duty hands its effects that concern other duties. None of the functions blocks.
 *
 * @property recordUsage counts usage; false means that the ring is full, and the duty offers the record again later
 * @property recordObjective measures a request; dropped when the ring is full
 * @property reportCrash tells the peers about a crash
 * @property explain records a reason; dropped when the ring is full
 */
public data class RequestOutlets(
    val recordUsage: (RequestEffect.RecordUsage) -> Boolean,
    val recordObjective: (RequestEffect.RecordObjective) -> Unit,
    val reportCrash: (RequestEffect.ReportCrash) -> Unit,
    val explain: (Explanation) -> Unit,
)
