package org.mulberrypin.decisions.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * Another instance and its position on the hash ring.
 *
 * @property address address for calls from other instances, as host:port
 * @property position hash of its name, from 0 to [HASH_RING_SIZE] exclusive
 */
public data class Member(
    val name: String,
    val address: String,
    val position: Long,
)

/** Number of positions on the hash ring. */
public const val HASH_RING_SIZE: Long = 1L shl 32

/** Converts [entries] to members, without [instance] itself, sorted by position. */
public fun membersOf(
    entries: List<InstanceEntry>,
    instance: String,
): List<Member> =
    entries
        .filter { it.name != instance }
        .distinctBy { it.name }
        .map { Member(it.name, it.peerAddress, positionOf(it.name)) }
        .sortedWith(compareBy({ it.position }, { it.name }))

internal fun positionOf(name: String): Long = hashOf(name) and (HASH_RING_SIZE - 1)

internal fun hashOf(text: String): Long = Hashing.komihash5_0().hashCharsToLong(text)
