/** Chooses an instance for a group from the load and the latencies that this holder has observed. */
package org.mulberrypin.decisions.rollouts

/** Chooses the instance for a group; [avoided] and recently failed instances are used only if no other is left. */
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
    return names[policy.instanceSelector(instanceCandidates(state, names), expectedTokens, meanTokens)]
}

private fun instanceCandidates(
    state: StepState,
    names: List<String>,
): List<InstanceCandidate> {
    val samplesByInstance = samplesInFlight(state)
    val latencies = state.latencies.values.map { it.millisecondsPerToken }
    val meanLatency = if (latencies.isEmpty()) 1.0 else latencies.average()
    return names.map {
        InstanceCandidate(samplesByInstance[it] ?: 0, state.latencies[it]?.millisecondsPerToken ?: meanLatency)
    }
}

private fun samplesInFlight(state: StepState): Map<String, Int> {
    val samplesByInstance = mutableMapOf<String, Int>()
    for (step in state.heldSteps.values) {
        for ((group, running) in step.running) {
            running.attempts.values.forEach {
                samplesByInstance.merge(it.instance, step.request.groups[group].samples, Int::plus)
            }
        }
    }
    return samplesByInstance
}
