/**
 * Metrics of the times that choices of servers are based on: their number, and the sums of the expected time, the
 * actual time and the error in milliseconds, by kind of forecast.
 */
package org.mulberrypin.service.deployment

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.mulberrypin.decisions.traffic.ForecastKind
import org.mulberrypin.decisions.traffic.TrafficEffect
import kotlin.math.abs

/**
 * Counters of one kind of forecast; times that are saved may be negative, so gains and losses are counted apart.
 *
 * @property lost sum of the actual times below zero, as a positive number
 */
internal data class ForecastCounters(
    val forecasts: Counter,
    val expected: Counter,
    val actual: Counter,
    val lost: Counter,
    val error: Counter,
)

/** Registers the counters of all kinds of forecasts. */
internal fun forecastCounters(registry: MeterRegistry): Map<ForecastKind, ForecastCounters> =
    ForecastKind.entries.associateWith { kind ->
        val counter = { name: String -> registry.counter("mulberrypin_$name", "kind", kind.name.lowercase()) }
        ForecastCounters(
            forecasts = counter("forecasts"),
            expected = counter("forecast_expected_milliseconds"),
            actual = counter("forecast_actual_milliseconds"),
            lost = counter("forecast_lost_milliseconds"),
            error = counter("forecast_error_milliseconds"),
        )
    }

/** Counts one forecast. */
internal fun ForecastCounters.count(forecast: TrafficEffect.MeasureForecast) {
    forecasts.increment()
    expected.increment(forecast.expectedMilliseconds.coerceAtLeast(0.0))
    actual.increment(forecast.actualMilliseconds.coerceAtLeast(0.0))
    lost.increment((-forecast.actualMilliseconds).coerceAtLeast(0.0))
    error.increment(abs(forecast.actualMilliseconds - forecast.expectedMilliseconds))
}
