package org.mulberrypin.decisions.traffic

/**
 * A content under which servers crashed.
 *
 * @property crashes number of crashes one after the other; 0 if a server has since run the content without crashing
 * @property lastMilliseconds time of the last crash, or of the run that cleared the content
 * @property isAnnounced true if this instance announces the record to the others
 */
public data class CrashSuspect(
    val crashes: Int,
    val lastMilliseconds: Long,
    val isAnnounced: Boolean = false,
)
