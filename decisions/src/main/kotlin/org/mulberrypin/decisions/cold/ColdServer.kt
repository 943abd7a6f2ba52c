/** What an instance knows of one backend server whose pool has servers that may be cold. */
package org.mulberrypin.decisions.cold

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.mulberrypin.schema.generated.BackendServerEntry

/**
 * A lifetime of a backend server. Times are in milliseconds on the clock of this process.
 *
 * @property coldUntilMilliseconds time until which the server is taken as cold
 * @property returnedMilliseconds time at which this instance saw the lifetime begin; long ago if it began before
 * @property share this instance's part of the requests that the server may get while it is cold
 * @property sends times of the requests that this instance sent within the last budget window, oldest first
 * @property isReportedCold true once the decision log has the server as cold, until it has it as warm
 * @property isReportedSpent true once the decision log has the share as spent, until it is usable again
 */
public data class ColdServer(
    val entry: BackendServerEntry,
    val coldUntilMilliseconds: Long = LONG_AGO_MILLISECONDS,
    val returnedMilliseconds: Long = LONG_AGO_MILLISECONDS,
    val share: ColdShare = ColdShare(),
    val sends: PersistentList<Long> = persistentListOf(),
    val isReportedCold: Boolean = false,
    val isReportedSpent: Boolean = false,
)

/**
 * This instance's claim to a part of the requests of a lifetime while it is cold.
 *
 * @property requests requests that may be sent in any budget window
 * @property nextMilliseconds earliest use of a share that is held, or time of the next attempt to claim it
 */
public data class ColdShare(
    val phase: ColdSharePhase = ColdSharePhase.UNCLAIMED,
    val requests: Int = 0,
    val nextMilliseconds: Long = LONG_AGO_MILLISECONDS,
)

/** State of the claim to a share. */
public enum class ColdSharePhase {
    /** Not claimed yet, or the outcome of a claim is unknown. */
    UNCLAIMED,

    /** This instance holds a share, for good. */
    HELD,

    /** Other instances hold all shares. */
    DENIED,
}

internal fun ColdServer.isCold(nowMilliseconds: Long): Boolean = nowMilliseconds < coldUntilMilliseconds

internal fun ColdServer.sendsInWindow(nowMilliseconds: Long): Int =
    sends.count { nowMilliseconds - it < COLD_WINDOW_MILLISECONDS }

/** Whether the share of this instance is used up for now. */
internal fun ColdServer.isSpent(nowMilliseconds: Long): Boolean =
    share.phase == ColdSharePhase.HELD && sendsInWindow(nowMilliseconds) >= share.requests

/** Takes the server as cold for at least [milliseconds] from now on. */
internal fun ColdServer.coldFor(
    milliseconds: Long,
    nowMilliseconds: Long,
): ColdServer = copy(coldUntilMilliseconds = maxOf(coldUntilMilliseconds, nowMilliseconds + milliseconds))

/** Before the start of any process, in milliseconds. */
internal const val LONG_AGO_MILLISECONDS: Long = Long.MIN_VALUE / 4

/**
 * Window in which the requests of a share are counted, in milliseconds. A second counts at the server; a request leaves
 * the process up to a second after the decision, since it may wait for a connection and the process may pause.
 */
public const val COLD_WINDOW_MILLISECONDS: Long = 2_000L
