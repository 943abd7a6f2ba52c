package org.mulberrypin.service.deployment

import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.decodeBackendServer
import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * The backend servers that the entries of the registry name.
 *
 * @property servers servers whose entries can be read
 * @property unreadable keys of the entries that cannot be read and name no server
 * @property newlyUnreadable rows of [unreadable] that the previous reading could still read or did not have
 */
internal data class ListedServers(
    val servers: List<BackendServerEntry> = emptyList(),
    val unreadable: Set<String> = emptySet(),
    val newlyUnreadable: List<StoredRow> = emptyList(),
)

/** Decodes [rows]. An entry of another writer that cannot be read leaves the other entries as they are. */
internal fun ListedServers.read(rows: List<StoredRow>): ListedServers {
    val read = rows.map { it to decodeBackendServer(it.key, it.value) }
    val failed = read.filter { (_, server) -> server == null }.map { (row, _) -> row }
    return ListedServers(
        servers = read.mapNotNull { (_, server) -> server },
        unreadable = failed.mapTo(HashSet()) { it.key },
        newlyUnreadable = failed.filter { it.key !in unreadable },
    )
}
