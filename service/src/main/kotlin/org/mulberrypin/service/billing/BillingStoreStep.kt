package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEffect
import org.mulberrypin.decisions.billing.UsageCounterEffect
import org.mulberrypin.decisions.billing.UsageReporterEffect

/** A table service operation for usage that this instance counted, or for copies received from peers. */
internal sealed interface BillingStoreStep {
    data class Checkpoint(
        val effect: UsageCounterEffect.WriteCheckpoint,
    ) : BillingStoreStep

    data class Copy(
        val effect: UsageCopiesEffect,
    ) : BillingStoreStep
}

/** A step of usage reporting. */
internal data class BillingReportStep(
    val effect: UsageReporterEffect,
)
