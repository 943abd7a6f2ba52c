/**
 * The form that all decisions of the project share: a pure function of the state, an event and the time. It answers
 * the next state and the effects that a duty carries out. Nothing in this module reads a clock, draws a random number,
 * waits, or knows how a message is encoded; seeds and times arrive inside events.
 */
package org.mulberrypin.decisions

/**
 * The outcome of a decision.
 *
 * @property state the state from which the next event is decided
 * @property effects what the duty has to carry out, in this order
 */
public data class Transition<out State, out Effect>(
    val state: State,
    val effects: List<Effect> = emptyList(),
)

/** Decides an event; the last argument is the time in milliseconds of the deciding process's own clock. */
public typealias Decision<State, Event, Effect> = (State, Event, Long) -> Transition<State, Effect>

/** Decides a second step from the state that this one led to; the effects follow each other. */
public inline fun <State, Effect> Transition<State, Effect>.andThen(
    next: (State) -> Transition<State, Effect>,
): Transition<State, Effect> {
    val following = next(state)
    return if (effects.isEmpty()) following else Transition(following.state, effects + following.effects)
}

/** Decides a step for each of [items], each from the state that the one before led to. */
public inline fun <State, Effect, Item> State.decideEach(
    items: Iterable<Item>,
    step: (State, Item) -> Transition<State, Effect>,
): Transition<State, Effect> =
    items.fold(Transition<State, Effect>(this)) { result, item -> result.andThen { step(it, item) } }
