package org.mulberrypin.standins.platform

import org.mulberrypin.schema.generated.BackendServerOrderAnswer
import org.mulberrypin.schema.generated.InstanceEntry
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableRow
import org.mulberrypin.schema.generated.UsageAnswer

/** What the platform stand-in answers, before it is encoded. */
internal sealed interface PlatformAnswer {
    /** Answer to a commit. */
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

    /** Answer to an order. */
    data class Order(
        val answer: BackendServerOrderAnswer,
    ) : PlatformAnswer

    /** Answer to a usage report. */
    data class Usage(
        val answer: UsageAnswer,
    ) : PlatformAnswer

    /** The list of instances. */
    data class Instances(
        val instances: List<InstanceEntry>,
    ) : PlatformAnswer

    /** The operation was done and has nothing to answer. */
    data object Done : PlatformAnswer

    /** What was asked for does not exist. */
    data object Missing : PlatformAnswer
}
