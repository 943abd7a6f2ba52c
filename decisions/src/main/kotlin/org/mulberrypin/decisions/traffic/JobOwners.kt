/** Assigns batch jobs to instances, takes over the jobs of failed instances and releases jobs at shutdown. */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.decisions.Transition
import org.mulberrypin.decisions.decideEach
import org.mulberrypin.schema.generated.JobRecord

internal fun TrafficState.isOwn(record: JobRecord): Boolean =
    record.owner == identity.name && record.ownerIncarnation == identity.incarnation

/**
 * Selects the instance that runs a new job. All jobs of a model go to one instance, so that its in-flight counts cover
 * the whole load of the model's engines and each engine has few connections. The streams of a model keep a good part of
 * a core busy, so only instances of at least half the largest capacity are considered.
 */
internal fun TrafficState.ownerOf(record: JobRecord): LiveInstance =
    successorOf(record) ?: LiveInstance(identity.name, identity.incarnation, identity.capacity)

private fun TrafficState.successorOf(record: JobRecord): LiveInstance? =
    jobOwners(record.model, liveInstances).firstOrNull()

/** Those of [instances] that may own the jobs of [model], in the order in which they succeed each other. */
public fun jobOwners(
    model: String,
    instances: List<LiveInstance>,
): List<LiveInstance> {
    val largest = instances.maxOfOrNull { it.capacity } ?: return emptyList()
    return instances
        .filter { it.capacity * 2 >= largest }
        .sortedByDescending { stableHash(stableHash(0, model), it.name) }
}

/**
 * Takes over jobs whose owner has failed and for which this instance is the successor. Only one process uses an
 * instance name at a time, so a restarted instance takes back the jobs of its previous process without waiting for
 * heartbeats.
 */
internal fun TrafficState.takeOverJobs(nowMilliseconds: Long): Transition<TrafficState, TrafficEffect> {
    val attemptedRecently = nowMilliseconds - lastTakeoverMilliseconds < TAKEOVER_INTERVAL_MILLISECONDS
    if (draining || attemptedRecently) return Transition(this)
    val isLive = liveInstances.any { it.name == identity.name }
    val orphans = storedJobs.values.filter { stored ->
        val isSuccessor = isLive && isOrphan(stored.record) && successorOf(stored.record)?.name == identity.name
        isSuccessor || isOwnedByPreviousProcess(stored.record)
    }
    if (orphans.isEmpty()) return Transition(this)
    return Transition(
        copy(lastTakeoverMilliseconds = nowMilliseconds),
        orphans.flatMap { stored ->
            val inputs = "owner=${stored.record.owner} version=${stored.version} live=${liveInstances.size}"
            val owned = stored.record.copy(owner = identity.name, ownerIncarnation = identity.incarnation)
            listOf(
                TrafficEffect.RecordDecision(stored.record.id, "taking job over", identity.name, inputs),
                TrafficEffect.TakeOverJob(owned, stored.version),
            )
        },
    )
}

private fun TrafficState.isOwnedByPreviousProcess(record: JobRecord): Boolean =
    !record.ended && !record.complete && !isOwn(record) && record.owner == identity.name

private fun TrafficState.isOrphan(record: JobRecord): Boolean =
    !record.ended && !record.complete && !isOwn(record) &&
        liveInstances.none { it.name == record.owner && it.incarnation == record.ownerIncarnation }

/** Drops all jobs of this instance and releases each to another instance together with its unsaved progress. */
internal fun TrafficState.releaseJobs(): Transition<TrafficState, TrafficEffect> =
    decideEach(jobs.values) { state, job ->
        val parts = job.newParts { it.lastEvent > it.lastSavedEvent || it.isTextComplete || it.errors > it.savedErrors }
        val release = TrafficEffect.ReleaseJob(job.record.copy(owner = "", ownerIncarnation = 0), job.version, parts)
        val dropped = state.dropJob(job.record.id, "shutting down")
        dropped.copy(effects = dropped.effects + release)
    }

/** Minimum time between two attempts to take over jobs, in milliseconds. */
private const val TAKEOVER_INTERVAL_MILLISECONDS = 500L
