/** Gathers what the holder knows about the instances, for the choice among them. */
package org.mulberrypin.decisions.rollouts

/** Chooses the instance for a group; one of [avoided] or one that failed lately only where there is no other. */
internal fun chooseInstance(
    policy: StepPolicy,
    state: StepState,
    choice: GroupChoice,
    avoided: Set<String>,
    nowMilliseconds: Long,
): String {
    val all = state.instances.keys
    val failing = state.avoidedUntil.filterValues { it > nowMilliseconds }.keys
    val digest = choice.step.promptDigests[choice.group]
    val names = all
        .minus(avoided + failing)
        .ifEmpty { all.minus(avoided) }
        .ifEmpty { all }
        .sortedBy { promptDigest(it) xor digest }
    val meanTokens = state.histories[choice.step.key.owner]?.meanTokens()?.coerceAtLeast(1) ?: 1
    val expectedTokens = choice.expectedTokens.takeIf { it > 0 } ?: meanTokens
    return names[policy.instanceOrder(candidatesOf(state, names), expectedTokens, meanTokens)]
}

private fun candidatesOf(
    state: StepState,
    names: List<String>,
): List<InstanceCandidate> {
    val load = samplesUnderWay(state)
    val paces = state.paces.values.map { it.millisecondsPerToken }
    val meanPace = if (paces.isEmpty()) 1.0 else paces.average()
    return names.map { InstanceCandidate(load[it] ?: 0, state.paces[it]?.millisecondsPerToken ?: meanPace) }
}

private fun samplesUnderWay(state: StepState): Map<String, Int> {
    val load = mutableMapOf<String, Int>()
    for (step in state.held.values) {
        for ((group, running) in step.running) {
            running.attempts.values.forEach { load.merge(it.instance, step.request.groups[group].samples, Int::plus) }
        }
    }
    return load
}
