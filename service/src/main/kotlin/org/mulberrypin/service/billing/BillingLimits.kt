/** Derives the parameters of usage counting and reporting from the instance's settings. */
package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageCounterLimits
import org.mulberrypin.decisions.billing.UsageReportLimits
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.service.EntryContext

internal fun usageCounterLimits(context: EntryContext): UsageCounterLimits =
    UsageCounterLimits(
        instance = context.settings.instance.name,
        incarnation = context.incarnation,
        windowMilliseconds = context.settings.usage.windowMilliseconds,
    )

internal fun usageReportLimits(settings: EntrySettings): UsageReportLimits =
    UsageReportLimits(
        windowMilliseconds = settings.usage.windowMilliseconds,
        settleMilliseconds = settings.usage.settleMilliseconds,
        loadMilliseconds = settings.usage.windowMilliseconds / LOADS_PER_WINDOW,
        lineLimit = MAX_REPORT_LINES,
        sendTimeoutMilliseconds = sendTimeoutMilliseconds(settings),
        clockRateBound = settings.leases.clockRateBound,
    )

/** The maximum duration of sending a report: the platform timeout, after which an unfinished send is given up. */
internal fun sendTimeoutMilliseconds(settings: EntrySettings): Long = settings.platform.timeoutMilliseconds

internal fun ownEntry(settings: InstanceSettings): InstanceEntry =
    InstanceEntry(name = settings.name, region = settings.region, failureDomain = settings.failureDomain)

private const val LOADS_PER_WINDOW = 4L
private const val MAX_REPORT_LINES = 500
