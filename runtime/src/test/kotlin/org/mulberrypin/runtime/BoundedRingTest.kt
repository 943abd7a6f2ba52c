package org.mulberrypin.runtime

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull

@DisplayName("A bounded ring")
class BoundedRingTest {
    @Nested
    @DisplayName("that is full")
    inner class Full {
        @Test
        fun `rejects an element without blocking`() {
            val ring = boundedRing<Int>("numbers", capacity = 1)
            ring.offer(1)
            expectThat(ring.offer(2)).isFalse()
        }
    }

    @Nested
    @DisplayName("that is empty")
    inner class Empty {
        @Test
        fun `returns null when the wait time has passed`() {
            expectThat(boundedRing<Int>("numbers", capacity = 1).take(waitMilliseconds = 0)).isNull()
        }
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `returns elements in insertion order`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 11), Arb.int(1..50)) { count ->
                val ring = boundedRing<Int>("numbers", capacity = count)
                repeat(count) { ring.offer(it) }
                expectThat((0 until count).map { ring.take(waitMilliseconds = 0) })
                    .isEqualTo((0 until count).toList())
            }
        }
    }
}
