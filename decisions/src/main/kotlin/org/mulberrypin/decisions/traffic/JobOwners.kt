/** Decides which instance runs a batch job, and when a job changes hands. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.JobRecord

internal fun TrafficState.isOwn(record: JobRecord): Boolean =
    record.owner == identity.name && record.ownerIncarnation == identity.incarnation

/**
 * The instance that runs a new job. All jobs of a model go to one instance, which then knows what each engine of the
 * model has in hand and keeps few connections to it.
 */
internal fun TrafficState.ownerOf(record: JobRecord): LiveInstance =
    heirOf(record) ?: LiveInstance(identity.name, identity.incarnation)

private fun TrafficState.heirOf(record: JobRecord): LiveInstance? =
    liveInstances.maxByOrNull { mix(mix(0, record.model), it.name) }

/**
 * Takes over jobs whose owner is gone and for which this instance is the next. A name is used by one process at a time,
 * so an instance that starts anew takes the jobs of its earlier process without waiting for a reading of heartbeats.
 */
internal fun TrafficState.takeOverJobs(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val isEarly = nowMilliseconds - lastTakeoverMilliseconds < TAKEOVER_PAUSE_MILLISECONDS
    if (draining || isEarly) return Transition(this)
    val isSeen = liveInstances.any { it.name == identity.name }
    val orphans = records.values.filter { known ->
        val isHeir = isSeen && isOrphan(known.record) && heirOf(known.record)?.name == identity.name
        isHeir || isLeftByEarlierProcess(known.record)
    }
    if (orphans.isEmpty()) return Transition(this)
    return Transition(
        copy(lastTakeoverMilliseconds = nowMilliseconds),
        orphans.flatMap { known ->
            val inputs = "owner=${known.record.owner} version=${known.version} live=${liveInstances.size}"
            val owned = known.record.copy(owner = identity.name, ownerIncarnation = identity.incarnation)
            listOf(
                TrafficEffect.Explain(known.record.id, "taking job over", identity.name, inputs),
                TrafficEffect.TakeOverJob(owned, known.version),
            )
        },
    )
}

private fun TrafficState.isLeftByEarlierProcess(record: JobRecord): Boolean =
    !record.ended && !record.complete && !isOwn(record) && record.owner == identity.name

private fun TrafficState.isOrphan(record: JobRecord): Boolean =
    !record.ended && !record.complete && !isOwn(record) &&
        liveInstances.none { it.name == record.owner && it.incarnation == record.ownerIncarnation }

internal fun TrafficState.releaseJobs(): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.values) { state, job ->
        val parts = job.newParts { it.lastEvent > it.savedEvent || it.isTextComplete }
        val release = TrafficEffect.ReleaseJob(job.record.copy(owner = "", ownerIncarnation = 0), job.version, parts)
        val dropped = state.dropJob(job.record.id, "shutting down")
        dropped.copy(effects = dropped.effects + release)
    }

/** Pause between two attempts to take jobs over, in milliseconds. */
private const val TAKEOVER_PAUSE_MILLISECONDS = 500L
