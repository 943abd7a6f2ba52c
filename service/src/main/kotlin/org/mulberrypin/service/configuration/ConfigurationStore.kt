/**
 * Reads and writes the configuration in the table service and the object store. The row version of [VERSION_KEY] equals
 * the configuration version, so a commit is conditional on the expected configuration version itself.
 */
package org.mulberrypin.service.configuration

import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.SNAPSHOT_INTERVAL_VERSIONS
import org.mulberrypin.platform.Platform
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.parseWireJson
import org.mulberrypin.runtime.then
import org.mulberrypin.runtime.wireJson
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.TableWrite

/**
 * Reads the version row and, if it is newer than [version], the patches that lead to it; if more than
 * [SNAPSHOT_INTERVAL_VERSIONS] versions are missing, reads the latest snapshot first.
 */
internal fun readConfiguration(
    platform: Platform,
    version: Long,
    startMilliseconds: Long,
): Outcome<ConfigurationEvent.StoreRead> =
    platform.tables.read(listOf(VERSION_KEY)).then { rows ->
        val newest = rows.firstOrNull()?.version ?: 0
        val snapshot =
            if (newest - version > SNAPSHOT_INTERVAL_VERSIONS) readSnapshot(platform) else Outcome.Success(null)
        snapshot.then { found ->
            val from = maxOf(version, found?.version ?: 0)
            readPatches(platform, from, newest).map { patches ->
                ConfigurationEvent.StoreRead(startMilliseconds, newest, found, patches)
            }
        }
    }

/** Reads the patches from version [from], exclusive, to [to], inclusive; at most [MAX_PATCHES_PER_READ]. */
internal fun readPatches(
    platform: Platform,
    from: Long,
    to: Long,
): Outcome<List<AcceptedPatch>> {
    val last = minOf(to, from + MAX_PATCHES_PER_READ)
    if (last <= from) return Outcome.Success(emptyList())
    val keys = (from + 1..last).map(::patchKey)
    return platform.tables.read(keys).then { rows -> parsePatches(rows) }
}

/** Commits [accepted] if its version is the next one. Idempotent: a patch already stored counts as committed. */
internal fun commitPatch(
    platform: Platform,
    accepted: AcceptedPatch,
): CommitResult {
    val key = patchKey(accepted.version)
    val value = wireJson.encodeToString(AcceptedPatch.serializer(), accepted)
    val commit = TableCommit(
        conditions = listOf(TableCondition(VERSION_KEY, accepted.version - 1), TableCondition(key, 0)),
        writes = listOf(TableWrite(VERSION_KEY, accepted.version.toString()), TableWrite(key, value)),
    )
    return when (val outcome = platform.tables.commit(commit)) {
        is Outcome.Success -> {
            if (outcome.value.committed) CommitResult.COMMITTED else resolveConflict(platform, accepted)
        }

        is Outcome.Failure -> {
            if (outcome.fault.kind == FaultKind.UNKNOWN) CommitResult.UNKNOWN else CommitResult.NOT_RUN
        }
    }
}

/** Writes a snapshot, from which starting instances load the configuration, and deletes old patches. */
internal fun writeSnapshot(
    platform: Platform,
    configuration: Configuration,
): Outcome<Unit> {
    val name = snapshotName(configuration.version)
    val last = configuration.version - KEPT_PATCHES
    val expired = (last - SNAPSHOT_INTERVAL_VERSIONS + 1..last).filter { it > 0 }
    val commit = TableCommit(
        writes = listOf(TableWrite(SNAPSHOT_KEY, name)) + expired.map { TableWrite(patchKey(it), delete = true) },
    )
    return platform.objects
        .put(name, wireJson.encodeToString(Configuration.serializer(), configuration))
        .then { platform.tables.commit(commit) }
        .map { }
}

/**
 * Reads the stored patch after a conflict: the conflicting commit may be an earlier attempt to commit [accepted] whose
 * response was lost.
 */
private fun resolveConflict(
    platform: Platform,
    accepted: AcceptedPatch,
): CommitResult =
    when (val outcome = readPatches(platform, accepted.version - 1, accepted.version)) {
        is Outcome.Success -> {
            if (outcome.value.singleOrNull() == accepted) CommitResult.COMMITTED else CommitResult.SUPERSEDED
        }

        is Outcome.Failure -> {
            CommitResult.UNKNOWN
        }
    }

private fun readSnapshot(platform: Platform): Outcome<Configuration?> =
    platform.tables.read(listOf(SNAPSHOT_KEY)).then { rows ->
        val name = rows.firstOrNull()?.value ?: return@then Outcome.Success(null)
        platform.objects.get(name).then { content ->
            if (content == null) {
                Outcome.Success(null)
            } else {
                parseWireJson(content, Configuration.serializer(), "configuration snapshot", name)
            }
        }
    }

private fun parsePatches(rows: List<TableRow>): Outcome<List<AcceptedPatch>> {
    val parsed = rows.map { parseWireJson(it.value, AcceptedPatch.serializer(), "configuration patch", it.key) }
    val failure = parsed.filterIsInstance<Outcome.Failure>().firstOrNull()
    return failure ?: Outcome.Success(parsed.filterIsInstance<Outcome.Success<AcceptedPatch>>().map { it.value })
}

/** Row key of a patch; the version is zero-padded so that keys sort in version order. */
internal fun patchKey(version: Long): String =
    "configuration/patch/" + version.toString().padStart(VERSION_DIGITS, '0')

private fun snapshotName(version: Long): String =
    "configuration/snapshot/" + version.toString().padStart(VERSION_DIGITS, '0')

/** Row whose row version is the version of the configuration. */
internal const val VERSION_KEY: String = "configuration/version"
private const val SNAPSHOT_KEY = "configuration/snapshot"
private const val VERSION_DIGITS = 12

/** Limits the size of one read of the table service. */
private const val MAX_PATCHES_PER_READ = 2 * SNAPSHOT_INTERVAL_VERSIONS

/** Patches kept in the table service; up to one snapshot interval more remain until the next snapshot. */
private const val KEPT_PATCHES = 2_000L
