package org.mulberrypin.standins.platform

/**
 * Result of an operation.
 *
 * @property state the state after the operation
 * @property answer the response to the client
 */
internal data class PlatformTransition(
    val state: PlatformState,
    val answer: PlatformAnswer,
)
