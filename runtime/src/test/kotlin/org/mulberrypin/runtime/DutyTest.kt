package org.mulberrypin.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A duty outlives the errors of its handlers, since a live process without one of its duties shows no sign of it. */
class DutyTest {
    @Test
    fun `continues with the next event after a handler ran out of stack`() {
        expectThat(handledAfter { throw StackOverflowError("scripted") }).isEqualTo(true)
    }

    @Test
    fun `continues with the next event after an assertion failed`() {
        expectThat(handledAfter { throw AssertionError("scripted") }).isEqualTo(true)
    }

    @Test
    fun `continues to tick after a tick ran out of stack`() {
        val ticks = AtomicInteger()
        val ticked = CountDownLatch(3)
        val duty = startDuty("test", boundedRing<Int>("test", 4), systemClock(), 1, {}) {
            ticks.incrementAndGet()
            ticked.countDown()
            throw StackOverflowError("scripted")
        }
        expectThat(ticked.await(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
        expectThat(ticks.get()).isGreaterThan(2)
        duty.stop(STOP_MILLISECONDS)
    }

    @Test
    fun `reports how long ago it last ticked`() {
        val reading = AtomicLong(1_000)
        val clock = ServiceClock(readMilliseconds = reading::get, readWallMilliseconds = reading::get)
        val blocked = CountDownLatch(1)
        val entered = CountDownLatch(1)
        val ring = boundedRing<Int>("test", 4)
        val handle: (Int) -> Unit = {
            entered.countDown()
            blocked.await()
        }
        val duty = startDuty("test", ring, clock, 1, handle) {}
        ring.offer(1)
        entered.await(WAIT_SECONDS, TimeUnit.SECONDS)
        reading.addAndGet(7_000)
        expectThat(duty.millisecondsSinceTick()).isEqualTo(7_000)
        blocked.countDown()
        duty.stop(STOP_MILLISECONDS)
    }

    @Test
    fun `ticks sooner once an event shortens its interval`() {
        val interval = AtomicLong(LONG_INTERVAL_MILLISECONDS)
        val ticked = CountDownLatch(3)
        val ring = boundedRing<Long>("test", 4)
        val duty = startDuty("test", ring, systemClock(), interval::get, interval::set, ticked::countDown)
        expectThat(ticked.await(2 * LONG_INTERVAL_MILLISECONDS / 3, TimeUnit.MILLISECONDS)).isEqualTo(false)
        expectThat(ticked.count).isEqualTo(2)
        ring.offer(1)
        expectThat(ticked.await(LONG_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)).isEqualTo(true)
        duty.stop(STOP_MILLISECONDS)
    }

    private fun handledAfter(fail: () -> Unit): Boolean {
        val handled = CountDownLatch(1)
        val ring = boundedRing<Int>("test", 4)
        val duty = startDuty("test", ring, systemClock(), 1_000, { if (it == 1) fail() else handled.countDown() }) {}
        ring.offer(1)
        ring.offer(2)
        return handled.await(WAIT_SECONDS, TimeUnit.SECONDS).also { duty.stop(STOP_MILLISECONDS) }
    }

    private companion object {
        private const val LONG_INTERVAL_MILLISECONDS = 3_000L
        private const val WAIT_SECONDS = 5L
        private const val STOP_MILLISECONDS = 500L
    }
}
