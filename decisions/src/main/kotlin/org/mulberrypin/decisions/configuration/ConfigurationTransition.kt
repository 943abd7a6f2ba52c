package org.mulberrypin.decisions.configuration

import org.mulberrypin.decisions.Transition

/** Next state and effects of [decideConfiguration]. */
public typealias ConfigurationTransition = Transition<ConfigurationState, ConfigurationEffect>

/** Applies [next] to the resulting state and appends its effects. */
internal inline fun ConfigurationTransition.then(
    next: (ConfigurationState) -> ConfigurationTransition,
): ConfigurationTransition {
    val following = next(state)
    return ConfigurationTransition(following.state, effects + following.effects)
}
