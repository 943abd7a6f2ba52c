/** Constraints between keys in the settings file of an entry instance; the schema constrains each value by itself. */
package org.mulberrypin.runtime.settings

import org.mulberrypin.schema.generated.EntrySettings

/** Checks [settings] for combinations of values that are not allowed. */
public fun checkEntrySettings(settings: EntrySettings): List<SettingsConflict> =
    leaseConflicts(settings) + drainConflicts(settings) + configurationConflicts(settings) +
        usageConflicts(settings) + instanceConflicts(settings)

private fun leaseConflicts(settings: EntrySettings): List<SettingsConflict> {
    val renewal = settings.leases.renewalMilliseconds
    val duration = settings.leases.durationMilliseconds
    return conflictUnless(
        isSatisfied = renewal * MIN_RENEWALS_PER_LEASE <= duration,
        keys = settingsKeys("leases", "renewal_milliseconds", "duration_milliseconds"),
        found = "a renewal interval of $renewal ms with a lease duration of $duration ms",
        expected = "a renewal interval of at most a third of the lease duration, so that two renewals may fail",
    )
}

private fun drainConflicts(settings: EntrySettings): List<SettingsConflict> {
    val drain = settings.instance.drainMilliseconds
    val longest = settings.requests.longestRequestMilliseconds
    val drainKey = SettingsKey("instance", "drain_milliseconds")
    val longestKey = SettingsKey("requests", "longest_request_milliseconds")
    return conflictUnless(
        isSatisfied = drain >= longest,
        keys = listOf(drainKey, longestKey),
        found = "a drain time of $drain ms with requests of up to $longest ms",
        expected = "at least the longest request time, so that a graceful shutdown aborts no request",
    )
}

private fun configurationConflicts(settings: EntrySettings): List<SettingsConflict> {
    val poll = settings.configuration.pollMilliseconds
    val force = settings.configuration.forceMilliseconds
    return conflictUnless(
        isSatisfied = poll * MIN_POLLS_BEFORE_IN_FORCE <= force,
        keys = settingsKeys("configuration", "poll_milliseconds", "force_milliseconds"),
        found = "a poll interval of $poll ms with changes in force within $force ms",
        expected = "at least two polls within the time until a change must be in force",
    )
}

private fun usageConflicts(settings: EntrySettings): List<SettingsConflict> {
    val checkpoint = settings.usage.checkpointMilliseconds
    val settle = settings.usage.settleMilliseconds
    return conflictUnless(
        isSatisfied = checkpoint <= settle,
        keys = settingsKeys("usage", "settle_milliseconds", "checkpoint_milliseconds"),
        found = "a window frozen $settle ms after its end with a checkpoint interval of $checkpoint ms",
        expected = "at least one checkpoint before the window is frozen",
    )
}

private fun instanceConflicts(settings: EntrySettings): List<SettingsConflict> {
    val instance = settings.instance
    val ports = conflictUnless(
        isSatisfied = instance.port == 0 || instance.port != instance.peerPort,
        keys = settingsKeys("instance", "peer_port", "port"),
        found = "port ${instance.peerPort} both for callers and for other instances",
        expected = "two different ports",
    )
    val digest = conflictUnless(
        isSatisfied = instance.operatorKeySha256.isEmpty() || sha256Pattern.matches(instance.operatorKeySha256),
        keys = settingsKeys("instance", "operator_key_sha256"),
        found = "\"${instance.operatorKeySha256}\"",
        expected = "a SHA-256 digest of 64 hexadecimal digits in lower case, or an empty value",
    )
    return ports + digest
}

private fun settingsKeys(
    section: String,
    vararg keys: String,
): List<SettingsKey> = keys.map { key -> SettingsKey(section, key) }

private fun conflictUnless(
    isSatisfied: Boolean,
    keys: List<SettingsKey>,
    found: String,
    expected: String,
): List<SettingsConflict> = if (isSatisfied) emptyList() else listOf(SettingsConflict(keys, found, expected))

private const val MIN_RENEWALS_PER_LEASE = 3
private const val MIN_POLLS_BEFORE_IN_FORCE = 2
private val sha256Pattern = Regex("[0-9a-f]{64}")
