/** How an instance takes in versions: from the table service and from patches that peers send. */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.toPersistentList
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/** Puts newer versions in force; what is not newer, or leaves a gap, is ignored. */
internal fun adopt(
    state: ConfigurationState,
    snapshot: Configuration?,
    patches: List<AcceptedPatch>,
): ConfigurationTransition {
    val newerSnapshot = snapshot?.takeIf { it.version > state.version }
    var configuration = newerSnapshot ?: state.configuration
    val applied = patches.sortedBy { it.version }.filter { accepted ->
        val next = accepted.version == configuration.version + 1
        if (next) configuration = applyChanges(configuration, accepted.patch)
        next
    }
    if (configuration.version == state.version) return ConfigurationTransition(state)
    val recent = if (newerSnapshot == null) state.recent + applied else applied
    val adopted = state.copy(
        configuration = configuration,
        recent = recent.takeLast(RECENT_LIMIT).toPersistentList(),
    )
    return ConfigurationTransition(adopted, listOf(ConfigurationEffect.Publish(configuration)))
}

/** Starts a read of the table service unless one is under way. */
internal fun startRead(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val since = state.readSinceMilliseconds
    if (since != null && nowMilliseconds - since < READ_EXPIRY_MILLISECONDS) {
        return ConfigurationTransition(state.copy(nextReadMilliseconds = nowMilliseconds))
    }
    return ConfigurationTransition(
        state.copy(readSinceMilliseconds = nowMilliseconds),
        listOf(ConfigurationEffect.ReadStore(state.version)),
    )
}

internal fun endRead(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationState =
    state.copy(
        readSinceMilliseconds = null,
        nextReadMilliseconds = nowMilliseconds + state.bounds.pollMilliseconds,
    )

/** Takes in a read; one that is older than the version in force here is no evidence of anything. */
internal fun takeStoreRead(
    state: ConfigurationState,
    event: ConfigurationEvent.StoreRead,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val idle = endRead(state, nowMilliseconds)
    if (event.version < state.version) return ConfigurationTransition(idle)
    return adopt(idle, event.snapshot, event.patches)
        .then { adopted -> ConfigurationTransition(confirmRead(adopted, event, nowMilliseconds)) }
        .then { judgeReadSubmissions(it, event.startMilliseconds, nowMilliseconds) }
}

private fun confirmRead(
    state: ConfigurationState,
    event: ConfigurationEvent.StoreRead,
    nowMilliseconds: Long,
): ConfigurationState {
    if (state.version < event.version) return state.copy(nextReadMilliseconds = nowMilliseconds)
    val evidence = Certainty(event.startMilliseconds, event.startMilliseconds)
    return state.copy(initialised = true, certainty = state.certainty.renewed(evidence))
}

private const val READ_EXPIRY_MILLISECONDS = 10_000L
