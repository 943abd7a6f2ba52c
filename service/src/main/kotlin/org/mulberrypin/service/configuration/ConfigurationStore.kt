/**
 * The rows and objects in which the platform keeps the configuration. The version of the version row is the version of
 * the configuration, so that the condition of a commit is the expected version itself.
 */
package org.mulberrypin.service.configuration

import org.mulberrypin.decisions.configuration.CommitResult
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.decisions.configuration.SNAPSHOT_INTERVAL
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

/** Reads the version row and, when it names a newer version than [version], what leads there. */
internal fun readConfiguration(
    platform: Platform,
    version: Long,
    startMilliseconds: Long,
): Outcome<ConfigurationEvent.StoreRead> =
    platform.tables.read(listOf(VERSION_KEY)).then { rows ->
        val newest = rows.firstOrNull()?.version ?: 0
        val snapshot = if (newest - version > SNAPSHOT_INTERVAL) readSnapshot(platform) else Outcome.Success(null)
        snapshot.then { found ->
            val from = maxOf(version, found?.version ?: 0)
            readPatches(platform, from, newest).map { patches ->
                ConfigurationEvent.StoreRead(startMilliseconds, newest, found, patches)
            }
        }
    }

/** Reads the patches after [from] up to [to]; a bounded number of them. */
internal fun readPatches(
    platform: Platform,
    from: Long,
    to: Long,
): Outcome<List<AcceptedPatch>> {
    val last = minOf(to, from + READ_LIMIT)
    if (last <= from) return Outcome.Success(emptyList())
    val keys = (from + 1..last).map(::patchKey)
    return platform.tables.read(keys).then { rows -> parseAll(rows) }
}

/** Commits [accepted] on the condition that its version is the next one; repeating it is harmless. */
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
            if (outcome.value.committed) CommitResult.COMMITTED else findOwnPatch(platform, accepted)
        }

        is Outcome.Failure -> {
            if (outcome.fault.kind == FaultKind.UNKNOWN) CommitResult.UNKNOWN else CommitResult.NOT_RUN
        }
    }
}

/** Writes [configuration] for instances that start and forgets the patches that are long before it. */
internal fun writeSnapshot(
    platform: Platform,
    configuration: Configuration,
): Outcome<Unit> {
    val name = snapshotName(configuration.version)
    val last = configuration.version - HISTORY_LIMIT
    val forgotten = (last - SNAPSHOT_INTERVAL + 1..last).filter { it > 0 }
    val commit = TableCommit(
        writes = listOf(TableWrite(SNAPSHOT_KEY, name)) + forgotten.map { TableWrite(patchKey(it), delete = true) },
    )
    return platform.objects
        .put(name, wireJson.encodeToString(Configuration.serializer(), configuration))
        .then { platform.tables.commit(commit) }
        .map { }
}

/** A conflict may be with our own commit whose answer was lost; the row itself tells. */
private fun findOwnPatch(
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

private fun parseAll(rows: List<TableRow>): Outcome<List<AcceptedPatch>> {
    val parsed = rows.map { parseWireJson(it.value, AcceptedPatch.serializer(), "configuration patch", it.key) }
    val failure = parsed.filterIsInstance<Outcome.Failure>().firstOrNull()
    return failure ?: Outcome.Success(parsed.filterIsInstance<Outcome.Success<AcceptedPatch>>().map { it.value })
}

internal fun patchKey(version: Long): String =
    "configuration/patch/" + version.toString().padStart(VERSION_DIGITS, '0')

private fun snapshotName(version: Long): String =
    "configuration/snapshot/" + version.toString().padStart(VERSION_DIGITS, '0')

internal const val VERSION_KEY: String = "configuration/version"
private const val SNAPSHOT_KEY = "configuration/snapshot"
private const val VERSION_DIGITS = 12

/** Patches read at once at most. */
private const val READ_LIMIT = 2 * SNAPSHOT_INTERVAL

/** Patches kept in the table service, apart from up to one snapshot interval more. */
private const val HISTORY_LIMIT = 2_000L
