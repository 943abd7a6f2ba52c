package org.mulberrypin.decisions.work

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Load pattern: texts whose hints are right in the median, and a tenth of which become several times as long. */
class TextLengthsTest {
    @Test
    fun `learns by route that hints are too low`() {
        val lengths = (1..200).fold(TextLengths()) { known, _ -> known.learned("long", 20, 80, 0) }
        expectThat(lengths.expectedRemaining("long", 20, 0)).isIn(60.0..100.0)
        expectThat(lengths.expectedRemaining("other", 20, 0)).isIn(15.0..40.0)
    }

    @Test
    fun `expects a text that has outrun its hint to go on, the longer the more it has outrun`() {
        val random = Random(1)
        val lengths = (1..500).fold(TextLengths()) { known, _ ->
            known.learned("sort", 20, if (random.nextInt(10) == 0) 140 else random.nextLong(12, 28), 0)
        }
        expectThat(lengths.expectedRemaining("sort", 20, 30)).isGreaterThan(60.0)
        expectThat(lengths.expectedRemaining("sort", 20, 25)).isGreaterThan(lengths.expectedRemaining("sort", 20, 0))
        expectThat(lengths.expectedRemaining("sort", 20, 5_000)).isGreaterThan(1_000.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [0, -7, 1_000_000_000, Long.MAX_VALUE])
    fun `does not believe a hint that cannot be meant`(hint: Long) {
        expectThat(TextLengths().expectedRemaining("sort", hint, 0)).isIn(10.0..100.0)
        val learned = (1..200).fold(TextLengths()) { known, _ -> known.learned("sort", hint, 12, 0) }
        expectThat(learned.expectedRemaining("sort", hint, 0)).isIn(8.0..20.0)
    }

    @Test
    fun `learns from the first texts how many tokens of a hint an event holds`() {
        val first = TextLengths().learned("sort", 640, 10, 0)
        expectThat(first.expectedRemaining("sort", 640, 0)).isIn(8.0..20.0)
        val random = Random(1)
        val lengths = (1..100).fold(first) { known, _ ->
            val events = random.nextLong(5, 40)
            known.learned("sort", events * 64, events, 0)
        }
        expectThat(lengths.expectedRemaining("sort", 1_920, 0)).isIn(25.0..40.0)
        expectThat(lengths.expectedRemaining("sort", 1_920, 20)).isIn(8.0..20.0)
    }

    @Test
    fun `keeps a bounded number of routes, the newest of them`() {
        val lengths = (1..1_000L).fold(TextLengths()) { known, route -> known.learned("route-$route", 10, 40, route) }
        expectThat(lengths.byRoute).hasSize(MAX_ROUTES)
        expectThat(lengths.expectedRemaining("route-1", 10, 0))
            .isLessThan(lengths.expectedRemaining("route-1000", 10, 0))
    }
}
