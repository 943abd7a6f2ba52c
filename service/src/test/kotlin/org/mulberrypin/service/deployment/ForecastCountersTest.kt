package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.traffic.ForecastKind
import org.mulberrypin.decisions.traffic.TrafficEffect
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Load pattern: moves of texts, some of which save time and some lose it. */
class ForecastCountersTest {
    @Test
    fun `counts the error of forecasts, and saved and lost time apart`() {
        val registry = SimpleMeterRegistry()
        val counters = forecastCounters(registry).getValue(ForecastKind.MOVE_GAIN)
        counters.count(TrafficEffect.MeasureForecast(ForecastKind.MOVE_GAIN, 500.0, 300.0))
        counters.count(TrafficEffect.MeasureForecast(ForecastKind.MOVE_GAIN, 500.0, -100.0))
        val sums = listOf("expected", "actual", "lost", "error").map {
            registry.counter("mulberrypin_forecast_${it}_milliseconds", "kind", "move_gain").count()
        }
        expectThat(sums).isEqualTo(listOf(1_000.0, 300.0, 100.0, 800.0))
        expectThat(registry.counter("mulberrypin_forecasts", "kind", "move_gain").count()).isEqualTo(2.0)
    }
}
