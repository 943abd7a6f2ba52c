package org.mulberrypin.decisions.division

import org.mulberrypin.schema.generated.ModelDemand
import org.mulberrypin.schema.generated.PoolDivision

/**
 * State of the division of engines among models in one instance.
 *
 * @property pools pools whose engines serve several models
 * @property demand smoothed demand by model
 * @property demandSinceMilliseconds time since which demand has been read without a gap
 * @property demandReadMilliseconds time at which demand was last read; null before the first time
 * @property inForce divisions as last read from the store or written by this instance, by pool
 * @property wantedSinceMilliseconds times since which another division has been worth a change, by pool
 * @property writes start times of the writes whose outcome is not known, by pool
 * @property implausible instances and models whose statements were left out when demand was last read
 */
public data class DivisionState(
    val pools: List<DividedPool> = emptyList(),
    val demand: Map<String, SmoothedDemand> = emptyMap(),
    val demandSinceMilliseconds: Long = 0,
    val demandReadMilliseconds: Long? = null,
    val inForce: Map<String, DivisionRow> = emptyMap(),
    val wantedSinceMilliseconds: Map<String, Long> = emptyMap(),
    val writes: Map<String, Long> = emptyMap(),
    val implausible: Set<Pair<String, String>> = emptySet(),
)

/** A pool with its models and the number of its engines that are not leaving. */
public data class DividedPool(
    val name: String,
    val models: List<String>,
    val engines: Int,
)

/** A division as stored; [version] is the version of its row. */
public data class DivisionRow(
    val division: PoolDivision,
    val version: Long,
)

/** Inputs of the division decisions. */
public sealed interface DivisionEvent {
    /** The pools, their models or their engines changed. */
    public data class PoolsChanged(
        val pools: List<DividedPool>,
    ) : DivisionEvent

    /** The heartbeats of all live instances were read; [demands] has what each of them states. */
    public data class DemandRead(
        val demands: Map<String, List<ModelDemand>>,
    ) : DivisionEvent

    /** The divisions in the store were read, or one of them was written. */
    public data class RowsRead(
        val rows: List<DivisionRow>,
    ) : DivisionEvent

    /** The write of a pool's division did not take effect, or its outcome is unknown. */
    public data class WriteFailed(
        val pool: String,
        val detail: String,
    ) : DivisionEvent

    /** Timer tick; [fencingNumber] is that of the control lease, null while another instance holds it. */
    public data class Tick(
        val fencingNumber: Long?,
    ) : DivisionEvent
}

/** Side effects requested by the division decisions. */
public sealed interface DivisionEffect {
    /** Write [division] on the condition that the pool's row has [expectedVersion]; 0 if there is none. */
    public data class Write(
        val division: PoolDivision,
        val expectedVersion: Long,
    ) : DivisionEffect

    /** Tell this instance's other duties the divisions in force. */
    public data class Announce(
        val shares: Map<String, Map<String, Int>>,
    ) : DivisionEffect

    /** Record the inputs of a decision. */
    public data class Explain(
        val subject: String,
        val decision: String,
        val inputs: String,
    ) : DivisionEffect
}
