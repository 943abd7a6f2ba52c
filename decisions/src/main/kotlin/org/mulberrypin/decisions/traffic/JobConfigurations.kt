/**
 * Relates jobs to configurations. An instance learns of jobs and of configurations independently, so that it may own a
 * job that was accepted under a configuration which it has not read yet. Until then it knows neither the job's route
 * nor the time that the route leaves to its tasks, and a missing route does not mean that the route was removed.
 */
package org.mulberrypin.decisions.traffic

import org.mulberrypin.schema.generated.JobRecord

/** Whether the configuration in force here is at least as new as the one under which a job was accepted. */
public fun TrafficState.knowsConfigurationOf(record: JobRecord): Boolean {
    val version = routing?.version ?: return false
    return version >= record.configurationVersion
}

/** The jobs of this instance whose tasks can be sent or given up under the configuration in force here. */
internal fun TrafficState.runnableJobs(): List<RunningJob> = jobs.values.filter { knowsConfigurationOf(it.record) }
