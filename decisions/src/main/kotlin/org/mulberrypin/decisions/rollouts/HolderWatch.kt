package org.mulberrypin.decisions.rollouts

/**
 * The heartbeat of the holder of a step as another instance first saw it. A heartbeat that has not changed for the
 * duration of a lease by the watching instance's own clock lets it take the step over. Taking over too early costs
 * work but no correctness, since the writes of the earlier holder no longer commit.
 *
 * @property heartbeatVersion version of the heartbeat's row; 0 when it is missing
 * @property sinceMilliseconds when it was first seen, by the clock of this process
 */
public data class HolderWatch(
    val holder: String,
    val incarnation: Long,
    val heartbeatVersion: Long,
    val sinceMilliseconds: Long,
)
