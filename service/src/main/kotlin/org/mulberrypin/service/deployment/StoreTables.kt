/** Names of the tables that entry instances keep in the platform's store, and the form of their keys. */
package org.mulberrypin.service.deployment

import org.mulberrypin.schema.generated.JobRecord
import org.mulberrypin.schema.generated.TaskPart

/** Tables of the system's own. */
internal object StoreTables {
    /** Batch jobs, in the partitions of [jobPartitions], under the job's identifier. */
    const val JOBS = "jobs"

    /** Results of jobs, in the partition of the job, under job, position and piece. */
    const val RESULTS = "results"

    /** Parts of texts of tasks that are not done, in the partition of the job, under job, task and first event. */
    const val PROGRESS = "progress"

    /** Heartbeats of the entry instances, under the instance's name. */
    const val INSTANCES = "instances"

    /** Leases of singleton duties. */
    const val LEASES = "leases"

    /** Counts of requests, one partition for each window, under the instance and its incarnation. */
    const val USAGE = "usage"

    /** Frozen usage windows, under the number of the window. */
    const val FROZEN_USAGE = "usage-frozen"
}

/** Partitions of jobs and results; a partition carries some hundred transactions a second. */
internal val jobPartitions: List<String> = (0 until JOB_PARTITIONS).map { "p$it" }

/** The partition of a job and its results. */
internal fun partitionOf(job: String): String = jobPartitions[Math.floorMod(job.hashCode(), JOB_PARTITIONS)]

/** The key of one piece of a result. Keys are ordered as positions are. */
internal fun resultKey(
    job: String,
    position: Int,
    piece: Int,
): String = "%s/%06d/%03d".format(job, position, piece)

/** The key of a part of a task's text. Keys of one task are ordered as its events are. */
internal fun partKey(
    job: String,
    part: TaskPart,
): String = "%s/%s/%06d".format(job, part.task, part.firstEvent)

/** The key after the last result or part of a job. */
internal fun keysEnd(job: String): String = "$job/~"

/** The position in a result's key. */
internal fun positionOf(key: String): Int = key.substringAfter('/').substringBefore('/').toInt()

/** A new name for the object that holds the submission of [record]. */
internal fun submissionObject(
    record: JobRecord,
    nonce: Long,
): String = "submission-${record.id}-${nonce.toString(RADIX)}"

private const val JOB_PARTITIONS = 8
private const val RADIX = 36
