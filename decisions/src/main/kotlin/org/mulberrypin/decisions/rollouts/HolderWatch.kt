package org.mulberrypin.decisions.rollouts

/**
 * The heartbeat of the holder of a step as first observed by another instance. If the heartbeat does not change for the
 * duration of a lease, measured by the observer's own clock, the observer may take the step over. A takeover that is
 * too early wastes work but is safe, because writes of the previous holder no longer commit.
 *
 * @property heartbeatVersion version of the heartbeat's row; 0 when the row is missing
 * @property sinceMilliseconds time of the first observation, by the clock of this process
 */
public data class HolderWatch(
    val holder: String,
    val incarnation: Long,
    val heartbeatVersion: Long,
    val sinceMilliseconds: Long,
)
