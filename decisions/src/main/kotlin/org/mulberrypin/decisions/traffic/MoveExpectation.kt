package org.mulberrypin.decisions.traffic

/**
 * What moving a running text was expected to gain.
 *
 * @property gainMilliseconds expected time saved, in milliseconds
 * @property sourceMilliseconds pace of the engine that it left, in milliseconds between two events
 * @property lastEvent number of the last event before the move
 * @property movedMilliseconds time of the move
 */
public data class MoveExpectation(
    val gainMilliseconds: Double,
    val sourceMilliseconds: Double,
    val lastEvent: Long,
    val movedMilliseconds: Long,
)
