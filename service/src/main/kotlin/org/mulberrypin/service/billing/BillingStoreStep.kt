package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCopiesEffect
import org.mulberrypin.decisions.billing.UsageCounterEffect
import org.mulberrypin.decisions.billing.UsageReporterEffect

/** A step at the table service for what this instance counted or copied. */
internal sealed interface BillingStoreStep {
    data class Checkpoint(
        val effect: UsageCounterEffect.WriteCheckpoint,
    ) : BillingStoreStep

    data class Copy(
        val effect: UsageCopiesEffect,
    ) : BillingStoreStep
}

/** A step of the reporter. */
internal data class BillingReportStep(
    val effect: UsageReporterEffect,
)
