package org.mulberrypin.service.billing

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.billing.UsageReporterEffect
import org.mulberrypin.decisions.leases.HeldLease
import org.mulberrypin.platform.BackendServerOrders
import org.mulberrypin.platform.InstanceRegistry
import org.mulberrypin.platform.ObjectStore
import org.mulberrypin.platform.Platform
import org.mulberrypin.platform.TableService
import org.mulberrypin.platform.UsageReports
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.manualClock
import org.mulberrypin.schema.generated.EntrySettings
import org.mulberrypin.schema.generated.PlatformSettings
import org.mulberrypin.schema.generated.UsageAnswer
import org.mulberrypin.schema.generated.UsageWindow
import org.mulberrypin.service.EntryContext
import org.mulberrypin.service.configuration.silentPeers
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

@DisplayName("The lease check of the usage reporter immediately before a send")
class BillingReporterTest {
    private val time = manualClock(startMilliseconds = 1_000)
    private val sent = mutableListOf<UsageWindow>()
    private val window = UsageWindow(name = "usage-0-0", fencingNumber = 3)
    private val hold = HeldLease(USAGE_LEASE, 4, deadlineMilliseconds = 10_000, sinceMilliseconds = 0, rowVersion = 1)

    private fun send(
        lease: HeldLease?,
        fencingNumber: Long = 4,
    ) {
        val reporter = BillingReporter(context(), { lease }) {}
        reporter.execute(BillingReportStep(UsageReporterEffect.Send(1, window, fencingNumber)))
    }

    @Test
    fun `sends the frozen window while the lease covers the send timeout`() {
        send(hold)
        expectThat(sent).containsExactly(window)
    }

    @Test
    fun `sends nothing without the lease or with a different fencing token`() {
        send(lease = null)
        send(hold, fencingNumber = 3)
        expectThat(sent).isEmpty()
    }

    @Test
    fun `sends nothing if the lease could expire during the send timeout`() {
        time.advance(7_500)
        send(hold)
        expectThat(sent).isEmpty()
    }

    private fun context(): EntryContext {
        val down = Outcome.Failure(Fault("test", "platform", FaultKind.NOT_RUN, "Down."))
        val platform = Platform(
            tables = TableService(commit = { down }, read = { down }, scan = { down }),
            objects = ObjectStore(put = { _, _ -> down }, get = { down }),
            orders = BackendServerOrders(send = { down }, findState = { down }),
            usage = UsageReports(
                send = {
                    sent += it
                    Outcome.Success(UsageAnswer(accepted = true))
                },
            ),
            instances = InstanceRegistry(read = { down }, register = { down }, remove = { down }),
        )
        val settings = EntrySettings(platform = PlatformSettings(timeoutMilliseconds = 2_000))
        return EntryContext(settings, 1, time.clock, platform, silentPeers(), SimpleMeterRegistry(), explain = {})
    }
}
