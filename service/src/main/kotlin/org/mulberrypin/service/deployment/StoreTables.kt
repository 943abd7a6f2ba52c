/** Table names and key formats of the tables that entry instances keep in the platform's store. */
package org.mulberrypin.service.deployment

import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.TaskPart

/** Tables owned by entry instances. */
internal object StoreTables {
    /** Batch jobs, in the partitions of [jobPartitions], keyed by job identifier. */
    const val JOBS = "jobs"

    /** Results of jobs, in the job's partition, keyed by job, position and piece. */
    const val RESULTS = "results"

    /** Saved parts of unfinished task texts, in the job's partition, keyed by job, task and first event. */
    const val PROGRESS = "progress"

    /** Heartbeats of entry instances, keyed by instance name. */
    const val INSTANCES = "instances"

    /** Leases of singleton duties, keyed by lease name. */
    const val LEASES = "leases"

    /** Shares of cold backend servers, keyed by server and start of its lifetime. */
    const val COLD_SHARES = "cold-shares"

    /** Divisions of engines among models, keyed by pool. */
    const val DIVISION = "division"

    /** Request counts, one partition per usage window, keyed by instance and incarnation. */
    const val USAGE = "usage"

    /** Frozen usage windows, keyed by window number. */
    const val FROZEN_USAGE = "usage-frozen"
}

/** Partitions of jobs and results; one partition sustains a few hundred transactions per second. */
internal val jobPartitions: List<String> = (0 until JOB_PARTITIONS).map { "p$it" }

/** Returns the partition of a job, its results and its saved parts. */
internal fun partitionOf(job: String): String = jobPartitions[Math.floorMod(job.hashCode(), JOB_PARTITIONS)]

/** Returns the key of one piece of a result; keys sort by position, then by piece. */
internal fun resultKey(
    job: String,
    position: Int,
    piece: Int,
): String = "%s/%06d/%03d".format(job, position, piece)

/** Returns the key of a saved part of a task's text; the keys of one task sort by event. */
internal fun partKey(
    job: String,
    part: TaskPart,
): String = "%s/%s/%06d".format(job, part.task, part.firstEvent)

/** Returns an exclusive upper bound for the keys of a job's results or saved parts. */
internal fun keyUpperBound(job: String): String = "$job/~"

/** Extracts the position from the key of a result. */
internal fun positionOf(key: String): Int = key.substringAfter('/').substringBefore('/').toInt()

/** Returns a new name for the object that holds the submission of [record]; [nonce] makes the name unique. */
internal fun submissionObject(
    record: JobRecord,
    nonce: Long,
): String = "submission-${record.id}-${nonce.toString(RADIX)}"

private const val JOB_PARTITIONS = 8
private const val RADIX = 36
