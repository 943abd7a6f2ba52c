package org.mulberrypin.decisions.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Another instance and its place on the hash circle.
 *
 * @property address where other instances reach it, as host:port
 * @property position hash of its name, from 0 to [POSITIONS] exclusive
 */
public data class Member(
    val name: String,
    val address: String,
    val position: Long,
)

/** Number of positions on the hash circle. */
public const val POSITIONS: Long = 1L shl 32

/** The members for [entries], without [instance] itself, in the order of their positions. */
public fun membersOf(
    entries: List<InstanceEntry>,
    instance: String,
): List<Member> =
    entries
        .filter { it.name != instance }
        .distinctBy { it.name }
        .map { Member(it.name, it.peerAddress, positionOf(it.name)) }
        .sortedWith(compareBy({ it.position }, { it.name }))

internal fun positionOf(name: String): Long = hashOf(name) and (POSITIONS - 1)

internal fun hashOf(text: String): Long = Hashing.komihash5_0().hashCharsToLong(text)
