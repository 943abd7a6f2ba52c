package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.BackendServerOrder
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.UsageWindow

/** Operation that a client requests from the platform stand-in. */
internal sealed interface PlatformOperation {
    /** Writes rows if all conditions hold. */
    data class CommitRows(
        val commit: TableCommit,
    ) : PlatformOperation

    /** Reads rows by their keys. */
    data class ReadRows(
        val keys: List<String>,
    ) : PlatformOperation

    /** Reads rows whose keys start with a prefix. */
    data class ScanRows(
        val prefix: String,
    ) : PlatformOperation

    /** Writes an object. */
    data class PutObject(
        val name: String,
        val content: String,
    ) : PlatformOperation

    /** Reads an object. */
    data class GetObject(
        val name: String,
    ) : PlatformOperation

    /** Orders backend servers. */
    data class SendOrder(
        val order: BackendServerOrder,
    ) : PlatformOperation

    /** Reads the response to an earlier order. */
    data class FindOrder(
        val name: String,
    ) : PlatformOperation

    /** Reports usage. */
    data class SendUsage(
        val window: UsageWindow,
    ) : PlatformOperation

    /** Lists the registered instances. */
    data object ListInstances : PlatformOperation

    /** Registers an instance. */
    data class RegisterInstance(
        val entry: InstanceEntry,
    ) : PlatformOperation

    /** Removes an instance. */
    data class RemoveInstance(
        val name: String,
    ) : PlatformOperation
}
