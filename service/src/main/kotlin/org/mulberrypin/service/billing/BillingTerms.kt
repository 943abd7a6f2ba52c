/** Draws the terms of counting and reporting from the settings of the instance. */
package org.mulberrypin.service.billing

import org.mulberrypin.decisions.billing.UsageReportTerms
import org.mulberrypin.decisions.billing.UsageTerms
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.InstanceSettings
import org.mulberrypin.service.EntryContext

internal fun usageTerms(context: EntryContext): UsageTerms =
    UsageTerms(
        instance = context.settings.instance.name,
        incarnation = context.incarnation,
        windowMilliseconds = context.settings.usage.windowMilliseconds,
    )

internal fun usageReportTerms(settings: EntrySettings): UsageReportTerms =
    UsageReportTerms(
        windowMilliseconds = settings.usage.windowMilliseconds,
        settleMilliseconds = settings.usage.settleMilliseconds,
        loadMilliseconds = settings.usage.windowMilliseconds / LOADS_IN_WINDOW,
        lineLimit = REPORT_LINE_LIMIT,
        longestSendMilliseconds = longestSendMilliseconds(settings),
        clockRateBound = settings.leases.clockRateBound,
    )

/** A report that was sent is taken or given up within the timeout of the platform. */
internal fun longestSendMilliseconds(settings: EntrySettings): Long = settings.platform.timeoutMilliseconds

internal fun ownEntry(settings: InstanceSettings): InstanceEntry =
    InstanceEntry(name = settings.name, region = settings.region, failureDomain = settings.failureDomain)

private const val LOADS_IN_WINDOW = 4L
private const val REPORT_LINE_LIMIT = 500
