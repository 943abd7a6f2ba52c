/**
 * Form shared by all decisions: a pure function of a state, an event and a time that returns the next state and the
 * effects to perform. Nothing in this module reads a clock, draws a random number, blocks or depends on the encoding of
 * messages; times and seeds are passed in.
 */
package org.mulberrypin.decisions

/**
 * The outcome of a decision.
 *
 * @property state state that the next event is applied to
 * @property effects side effects that the calling thread performs, in this order
 */
public data class Transition<out State, out Effect>(
    val state: State,
    val effects: List<Effect> = emptyList(),
)

/** Applies an event to a state; the last argument is the time in milliseconds on the clock of this process. */
public typealias Decision<State, Event, Effect> = (State, Event, Long) -> Transition<State, Effect>

/** Applies a second step to the resulting state and appends the effects of that step. */
public inline fun <State, Effect> Transition<State, Effect>.andThen(
    next: (State) -> Transition<State, Effect>,
): Transition<State, Effect> {
    val following = next(state)
    return if (effects.isEmpty()) following else Transition(following.state, effects + following.effects)
}

/** Applies [step] for each of [items] in turn, each to the state that the previous step returned. */
public inline fun <State, Effect, Item> State.decideEach(
    items: Iterable<Item>,
    step: (State, Item) -> Transition<State, Effect>,
): Transition<State, Effect> =
    items.fold(Transition<State, Effect>(this)) { result, item -> result.andThen { step(it, item) } }
