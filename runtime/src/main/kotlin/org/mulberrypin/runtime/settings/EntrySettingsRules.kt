/**
 * Rules between the keys of an entry instance's settings file. The schema states what each value may be by itself.
 */
package org.mulberrypin.runtime.settings

import org.mulberrypin.schema.generated.EntrySettings

/** Checks [settings] for values that do not go together. */
public fun checkEntrySettings(settings: EntrySettings): List<SettingsConflict> =
    leaseConflicts(settings) + drainConflicts(settings) + configurationConflicts(settings) +
        usageConflicts(settings) + instanceConflicts(settings)

private fun leaseConflicts(settings: EntrySettings): List<SettingsConflict> {
    val renewal = settings.leases.renewalMilliseconds
    val duration = settings.leases.durationMilliseconds
    return conflictUnless(
        holds = renewal * RENEWALS_IN_LEASE <= duration,
        keys = keysOf("leases", "renewal_milliseconds", "duration_milliseconds"),
        found = "a renewal every $renewal ms of a lease of $duration ms",
        expected = "a renewal at most every third of the lease's duration, so that two may be lost",
    )
}

private fun drainConflicts(settings: EntrySettings): List<SettingsConflict> {
    val drain = settings.instance.drainMilliseconds
    val longest = settings.requests.longestRequestMilliseconds
    val drainKey = SettingsKey("instance", "drain_milliseconds")
    val longestKey = SettingsKey("requests", "longest_request_milliseconds")
    return conflictUnless(
        holds = drain >= longest,
        keys = listOf(drainKey, longestKey),
        found = "$drain ms for requests of up to $longest ms",
        expected = "at least the longest request, so that a graceful shutdown cuts none short",
    )
}

private fun configurationConflicts(settings: EntrySettings): List<SettingsConflict> {
    val poll = settings.configuration.pollMilliseconds
    val force = settings.configuration.forceMilliseconds
    return conflictUnless(
        holds = poll * POLLS_IN_FORCE_TIME <= force,
        keys = keysOf("configuration", "poll_milliseconds", "force_milliseconds"),
        found = "a read every $poll ms for changes in force within $force ms",
        expected = "at least two reads before a change must be in force",
    )
}

private fun usageConflicts(settings: EntrySettings): List<SettingsConflict> {
    val checkpoint = settings.usage.checkpointMilliseconds
    val settle = settings.usage.settleMilliseconds
    return conflictUnless(
        holds = checkpoint <= settle,
        keys = keysOf("usage", "settle_milliseconds", "checkpoint_milliseconds"),
        found = "a window frozen after $settle ms with checkpoints every $checkpoint ms",
        expected = "at least one checkpoint before the window is frozen",
    )
}

private fun instanceConflicts(settings: EntrySettings): List<SettingsConflict> {
    val instance = settings.instance
    val ports = conflictUnless(
        holds = instance.port == 0 || instance.port != instance.peerPort,
        keys = keysOf("instance", "peer_port", "port"),
        found = "port ${instance.peerPort} for callers and for other instances",
        expected = "two different ports",
    )
    val digest = conflictUnless(
        holds = instance.operatorKeySha256.isEmpty() || sha256Form.matches(instance.operatorKeySha256),
        keys = keysOf("instance", "operator_key_sha256"),
        found = "\"${instance.operatorKeySha256}\"",
        expected = "a SHA-256 digest of 64 hexadecimal digits in lower case, or nothing",
    )
    return ports + digest
}

private fun keysOf(
    section: String,
    vararg keys: String,
): List<SettingsKey> = keys.map { key -> SettingsKey(section, key) }

private fun conflictUnless(
    holds: Boolean,
    keys: List<SettingsKey>,
    found: String,
    expected: String,
): List<SettingsConflict> = if (holds) emptyList() else listOf(SettingsConflict(keys, found, expected))

private const val RENEWALS_IN_LEASE = 3
private const val POLLS_IN_FORCE_TIME = 2
private val sha256Form = Regex("[0-9a-f]{64}")
