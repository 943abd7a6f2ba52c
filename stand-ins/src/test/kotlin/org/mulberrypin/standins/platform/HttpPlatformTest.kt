package org.mulberrypin.standins.platform

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.mulberrypin.platform.httpPlatform
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BackendServer
import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableWrite
import org.mulberrypin.schema.generated.UsageLine
import org.mulberrypin.schema.generated.UsageWindow
import strikt.api.expectThat
import strikt.assertions.containsKey
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith

@DisplayName("The HTTP clients of the platform")
class HttpPlatformTest {
    private val engine = BackendServer(name = "e1", failureDomain = "armor-a", address = "127.0.0.1:9")
    private val standIn = startPlatformStandIn(
        PlatformStandInOptions(fencingPools = setOf("fenced"), backendServers = mapOf("pool" to listOf(engine))),
    )
    private val platform = httpPlatform(standIn.settings(timeoutMilliseconds = 5_000))
    private val shortTimeoutPlatform = httpPlatform(standIn.settings(timeoutMilliseconds = 200))
    private val write = TableCommit(listOf(TableCondition("a", 0)), listOf(TableWrite("a", "1")))

    @AfterEach
    fun stop() = standIn.stop()

    private fun <Value> Outcome<Value>.value(): Value =
        when (this) {
            is Outcome.Success -> value
            is Outcome.Failure -> error(fault.toString())
        }

    private fun Outcome<*>.kind(): FaultKind? = (this as? Outcome.Failure)?.fault?.kind

    @Nested
    @DisplayName("against working services")
    inner class Working {
        @Test
        fun `write, read and scan rows`() {
            expectThat(
                platform.tables
                    .commit(write)
                    .value()
                    .committed,
            ).isTrue()
            expectThat(
                platform.tables
                    .read(listOf("a", "b"))
                    .value()
                    .map { it.key to it.version },
            ).isEqualTo(listOf("a" to 1L))
            expectThat(platform.tables.scan("a").value()).hasSize(1)
            expectThat(platform.tables.scan("b&c d").value()).isEmpty()
        }

        @Test
        fun `return the current rows on a conflict`() {
            platform.tables.commit(write)
            val answer = platform.tables.commit(write).value()
            expectThat(answer.committed).isFalse()
            expectThat(answer.conflicts.map { it.version }).isEqualTo(listOf(1L))
        }

        @Test
        fun `store objects with slashes and spaces in their names`() {
            platform.objects.put("steps/a b/%1", "content é").value()
            expectThat(platform.objects.get("steps/a b/%1").value()).isEqualTo("content é")
            expectThat(platform.objects.get("steps/none").value()).isNull()
        }

        @Test
        fun `return the first response for a repeated order name`() {
            val order = BackendServerOrder(name = "o 1", pool = "pool", failureDomain = "armor-a", wanted = 2)
            val first = platform.orders.send(order).value()
            expectThat(first.backendServers).isEqualTo(listOf(engine))
            expectThat(platform.orders.send(order.copy(wanted = 0)).value()).isEqualTo(first)
            expectThat(platform.orders.findState("o 1").value()).isEqualTo(first)
            expectThat(platform.orders.findState("o 2").value()).isNull()
        }

        @Test
        fun `get refusals of expired orders, and of outdated fencing numbers in fencing pools only`() {
            val order = BackendServerOrder(name = "n", pool = "fenced", fencingNumber = 2)
            val send = { changed: BackendServerOrder ->
                platform.orders
                    .send(changed)
                    .value()
                    .accepted
            }
            expectThat(send(order)).isTrue()
            expectThat(send(order.copy(name = "old", fencingNumber = 1))).isFalse()
            expectThat(send(order.copy(name = "expired", expiresWallMilliseconds = 1))).isFalse()
            expectThat(send(order.copy(name = "x", pool = "open"))).isTrue()
            expectThat(send(order.copy(name = "y", pool = "open", fencingNumber = 1))).isTrue()
        }

        @Test
        fun `report usage, and get a refusal of a repeated window with different lines`() {
            val window = UsageWindow(name = "w", lines = listOf(UsageLine("t", "r", 1)))
            expectThat(
                platform.usage
                    .send(window)
                    .value()
                    .accepted,
            ).isTrue()
            expectThat(
                platform.usage
                    .send(window)
                    .value()
                    .accepted,
            ).isTrue()
            expectThat(
                platform.usage
                    .send(window.copy(lines = emptyList()))
                    .value()
                    .accepted,
            ).isFalse()
            expectThat(standIn.records().usage).hasSize(3)
        }

        @Test
        fun `register, list and remove instances`() {
            val entry = InstanceEntry(name = "i 1", address = "127.0.0.1:1")
            platform.instances.register(entry).value()
            expectThat(platform.instances.read().value()).isEqualTo(listOf(entry))
            platform.instances.remove("i 1").value()
            expectThat(platform.instances.read().value()).isEmpty()
        }
    }

    @Nested
    @DisplayName("against failing services")
    inner class Failing {
        @Test
        fun `return NOT_RUN when nothing listens on the port`() {
            standIn.stop()
            expectThat(platform.tables.commit(write).kind()).isEqualTo(FaultKind.NOT_RUN)
        }

        @Test
        fun `return REFUSED after a status from 400 to 499`() {
            standIn.faults.set(StandInFaults(refuse = 1, refuseStatus = 403))
            expectThat(platform.tables.commit(write).kind()).isEqualTo(FaultKind.REFUSED)
            expectThat(standIn.rows()).isEmpty()
        }

        @Test
        fun `return UNKNOWN after a status of 500 or above`() {
            standIn.faults.set(StandInFaults(refuse = 1))
            expectThat(platform.tables.commit(write).kind()).isEqualTo(FaultKind.UNKNOWN)
        }

        @Test
        fun `return UNKNOWN when the response is lost after the write`() {
            standIn.faults.set(StandInFaults(loseAnswers = 1, operation = "table commit"))
            expectThat(platform.tables.commit(write).kind()).isEqualTo(FaultKind.UNKNOWN)
            expectThat(standIn.rows()).containsKey("a")
            expectThat(
                platform.tables
                    .commit(write)
                    .value()
                    .committed,
            ).isFalse()
        }

        @Test
        fun `return UNKNOWN after a timeout, and the write may still take effect`() {
            standIn.faults.set(StandInFaults(slowMilliseconds = 400))
            expectThat(shortTimeoutPlatform.tables.commit(write).kind()).isEqualTo(FaultKind.UNKNOWN)
            expectThat(
                platform.tables
                    .read(listOf("a"))
                    .value()
                    .map { it.version },
            ).isEqualTo(listOf(1L))
        }

        @Test
        fun `return UNKNOWN when connections are closed, and do not retry`() {
            standIn.faults.set(StandInFaults(down = true))
            expectThat(platform.tables.commit(write)).isA<Outcome.Failure>().get { fault }.and {
                get { kind }.isEqualTo(FaultKind.UNKNOWN)
                get { detail }.startsWith("ClosedSessionException")
            }
            standIn.faults.set(StandInFaults())
            expectThat(standIn.records().commits).isEqualTo(0)
        }

        @Test
        fun `read outdated rows while reads are stale`() {
            standIn.faults.set(StandInFaults(staleReads = true))
            platform.tables.commit(write).value()
            expectThat(platform.tables.read(listOf("a")).value()).isEmpty()
            standIn.faults.set(StandInFaults())
            expectThat(platform.tables.read(listOf("a")).value()).hasSize(1)
        }

        @Test
        fun `get a refusal of reclaimable backend servers in an exhausted failure domain`() {
            standIn.faults.set(StandInFaults(exhaustedFailureDomains = listOf("armor-a")))
            val order = BackendServerOrder(name = "o", pool = "pool", failureDomain = "armor-a", wanted = 1)
            expectThat(
                platform.orders
                    .send(order)
                    .value()
                    .accepted,
            ).isTrue()
            expectThat(
                platform.orders
                    .send(order.copy(name = "p", reclaimable = true))
                    .value()
                    .accepted,
            ).isFalse()
        }

        @Test
        fun `read an outdated list of instances while it lags`() {
            standIn.faults.set(StandInFaults(instanceLagMilliseconds = 3_600_000))
            platform.instances.register(InstanceEntry(name = "i")).value()
            expectThat(platform.instances.read()).isA<Outcome.Success<*>>()
            expectThat(platform.instances.read().value()).isEmpty()
        }
    }
}
