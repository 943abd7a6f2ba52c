/**
 * Learned lengths of texts by route. A hint counts tokens, and an event may hold many of them, so the scale between the
 * two is learned first. A trainer's hint is about right in the median and often far off, so what is kept beside the
 * scale is how far complete texts were off it: the shares of length over scaled hint, in steps of half an octave. A
 * text that has outrun its hint is compared only with texts that had become as long.
 */
package org.mulberrypin.decisions.work

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.log2
import kotlin.math.pow
import kotlin.math.roundToInt

/** Learned lengths by route name. */
public data class TextLengths(
    val byRoute: PersistentMap<String, HintErrors> = persistentMapOf(),
)

/**
 * How far the texts of a route are off their hints.
 *
 * @property scaleOctaves mean logarithm to base 2 of events over hint
 * @property texts number of complete texts that were learned from
 * @property shares weight of each ratio of length and scaled hint, from [LOWEST_STEP] half octaves up; they sum to 1
 * @property learnedMilliseconds time of the last complete text
 */
public data class HintErrors(
    val scaleOctaves: Double,
    val texts: Int,
    val shares: List<Double>,
    val learnedMilliseconds: Long,
)

/** Adds a complete text of [events] events. */
public fun TextLengths.learned(
    route: String,
    hint: Long,
    events: Long,
    nowMilliseconds: Long,
): TextLengths {
    val known = byRoute[route] ?: unknownErrors
    val octaves = log2(events.coerceAtLeast(1) / usableHint(hint))
    val scaleWeight = maxOf(SMOOTHING, 1.0 / (known.texts + 1))
    val scale = known.scaleOctaves + (octaves - known.scaleOctaves) * scaleWeight
    val step = stepOf(octaves - scale)
    val next = HintErrors(
        scaleOctaves = scale,
        texts = minOf(known.texts + 1, MAX_TEXTS),
        shares = known.shares.mapIndexed { index, share ->
            share * (1 - SMOOTHING) + if (index == step) SMOOTHING else 0.0
        },
        learnedMilliseconds = nowMilliseconds,
    )
    return TextLengths((if (route in byRoute) byRoute else withRoom()).put(route, next))
}

/** Expected number of further events of a text that has [produced] events. */
public fun TextLengths.expectedRemaining(
    route: String,
    hint: Long,
    produced: Long,
): Double {
    val known = byRoute[route] ?: unknownErrors
    val usable = usableHint(hint) * 2.0.pow(known.scaleOctaves)
    var weight = OUTRUN_SHARE
    // Lengths spread over more than a decade, so a text beyond all others goes on for about as long as it has become.
    var total = OUTRUN_SHARE * maxOf(produced.toDouble(), FEWEST_EVENTS)
    known.shares.forEachIndexed { index, share ->
        val length = usable * ratios[index]
        if (length > produced) {
            weight += share
            total += share * (length - produced)
        }
    }
    return total / weight
}

private fun TextLengths.withRoom(): PersistentMap<String, HintErrors> {
    if (byRoute.size < MAX_ROUTES) return byRoute
    return byRoute.remove(byRoute.minBy { it.value.learnedMilliseconds }.key)
}

/** A hint that is missing or absurd says nothing; the shares then are those of lengths. */
private fun usableHint(hint: Long): Double = if (hint in HINTS) hint.toDouble() else UNHINTED_EVENTS

private fun stepOf(octaves: Double): Int =
    ((octaves * STEPS_PER_OCTAVE).roundToInt() - LOWEST_STEP).coerceIn(0, STEPS - 1)

/** Weight of a new text; the shares follow the last fifty texts of a route. */
private const val SMOOTHING = 0.02

private const val STEPS_PER_OCTAVE = 2.0

/** The lowest ratio of length and hint that is told apart, a sixteenth, in half octaves. */
internal const val LOWEST_STEP: Int = -8

/** Number of ratios that are told apart, up to sixteen. */
private const val STEPS = 17

/** Ratios of length and hint that are told apart. */
private val ratios: DoubleArray = DoubleArray(STEPS) { 2.0.pow((it + LOWEST_STEP) / STEPS_PER_OCTAVE) }

/** Shares of a route without a complete text: centred on the hint, an octave wide to both sides. */
private val unknownShares: List<Double> = (0 until STEPS)
    .map { 2.0.pow(-((it + LOWEST_STEP) / STEPS_PER_OCTAVE).pow(2)) }
    .let { weights -> weights.map { it / weights.sum() } }

/** A route without a complete text, whose hints are taken for events. */
private val unknownErrors = HintErrors(scaleOctaves = 0.0, texts = 0, shares = unknownShares, learnedMilliseconds = 0)

/** Number of texts up to which they are counted. */
private const val MAX_TEXTS = 1_000

/** Weight of lengths beyond all that were seen. */
private const val OUTRUN_SHARE = 0.01

/** Events that a text beyond all lengths is expected to go on for at least. */
private const val FEWEST_EVENTS = 10.0

/** Number of routes whose texts are kept. */
internal const val MAX_ROUTES: Int = 256

/** Hints that can be meant. */
private val HINTS = 1L..100_000L

/** Expected events of a text without a usable hint on a route that is not known. */
private const val UNHINTED_EVENTS = 32.0
