package org.mulberrypin.service

import org.mulberrypin.runtime.Duty
import org.mulberrypin.service.attempts.AttemptPart
import org.mulberrypin.service.billing.BillingPart
import org.mulberrypin.service.configuration.ConfigurationPart
import org.mulberrypin.service.explanations.ExplanationPart
import org.mulberrypin.service.leases.LeasePart
import org.mulberrypin.service.membership.MembershipPart
import org.mulberrypin.service.objectives.ObjectivePart
import org.mulberrypin.service.requests.RequestPart
import org.mulberrypin.service.rollouts.RolloutPart
import org.mulberrypin.service.supply.SupplyPart

/** The running parts of one entry instance. */
internal data class EntryParts(
    val requests: RequestPart,
    val configuration: ConfigurationPart,
    val rollouts: RolloutPart,
    val membership: MembershipPart,
    val attempts: AttemptPart,
    val explanations: ExplanationPart,
    val objectives: ObjectivePart,
    val leases: LeasePart,
    val billing: BillingPart,
    val supply: SupplyPart,
    val configurationMonitor: Duty,
)
