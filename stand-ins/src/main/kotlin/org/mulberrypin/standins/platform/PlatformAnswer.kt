package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.UsageAnswer

/** Response of the platform stand-in before its encoding. */
internal sealed interface PlatformAnswer {
    /** Response to a commit. */
    data class Commit(
        val answer: TableCommitAnswer,
    ) : PlatformAnswer

    /** Rows that were read. */
    data class Rows(
        val rows: List<TableRow>,
    ) : PlatformAnswer

    /** Content of an object. */
    data class Content(
        val content: String,
    ) : PlatformAnswer

    /** Response to an order. */
    data class Order(
        val answer: BackendServerOrderAnswer,
    ) : PlatformAnswer

    /** Response to a usage report. */
    data class Usage(
        val answer: UsageAnswer,
    ) : PlatformAnswer

    /** The registered instances. */
    data class Instances(
        val instances: List<InstanceEntry>,
    ) : PlatformAnswer

    /** The operation succeeded and returns no content. */
    data object Done : PlatformAnswer

    /** The requested object or order does not exist. */
    data object Missing : PlatformAnswer
}
