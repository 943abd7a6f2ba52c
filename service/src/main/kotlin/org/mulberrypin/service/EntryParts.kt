package org.mulberrypin.service

import org.mulberrypin.runtime.Duty
import org.mulberrypin.service.configuration.ConfigurationPart
import org.mulberrypin.service.membership.MembershipPart
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.rollouts.RolloutPart

/** The running parts of one entry instance. */
internal data class EntryParts(
    val requests: RequestPart,
    val configuration: ConfigurationPart,
    val rollouts: RolloutPart,
    val membership: MembershipPart,
    val certaintyWatch: Duty,
)
