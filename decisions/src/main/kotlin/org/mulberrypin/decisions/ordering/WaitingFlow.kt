package org.mulberrypin.decisions.ordering

/**
 * Work that waits and shares slots with other work.
 *
 * @property flow name of the flow, which stands for a rank, a team and a model
 * @property rank priority of the work; 0 is the highest, and any value is allowed
 * @property standing standing of the flow's next task
 */
public data class WaitingFlow(
    val flow: String,
    val rank: Int,
    val standing: GroupStanding,
)
