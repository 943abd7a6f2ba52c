package org.mulberrypin.standins.platform

/**
 * The outcome of an operation.
 *
 * @property state the state after the operation
 * @property answer what the client is told
 */
internal data class PlatformChange(
    val state: PlatformState,
    val answer: PlatformAnswer,
)
