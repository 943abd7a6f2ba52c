package org.mulberrypin.decisions.configuration

import org.mulberrypin.decisions.Transition

/** The outcome of a decision about configurations. */
public typealias ConfigurationTransition = Transition<ConfigurationState, ConfigurationEffect>

/** Continues with [next] from the reached state and keeps the effects of both in their order. */
internal inline fun ConfigurationTransition.then(
    next: (ConfigurationState) -> ConfigurationTransition,
): ConfigurationTransition {
    val following = next(state)
    return ConfigurationTransition(following.state, effects + following.effects)
}
