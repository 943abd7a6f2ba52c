/** A cache of prompt prefixes in blocks of equal length, with limited capacity. */
package org.mulberrypin.standins.engine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.standins.text.mix

/** Hashes of the cached prefixes, least recently used first. */
internal data class PrefixCache(
    val blocks: PersistentMap<Long, Unit> = persistentMapOf(),
)

/**
 * @property cache the cache after the lookup
 * @property cachedTokens number of tokens of the prompt that were cached
 */
internal data class PrefixLookup(
    val cache: PrefixCache,
    val cachedTokens: Int,
)

/** Looks up the prefixes of [prompt] and stores them; the cache keeps at most [capacity] blocks of all prompts. */
internal fun PrefixCache.lookUpAndStore(
    prompt: String,
    capacity: Int,
): PrefixLookup {
    val digests = prefixDigests(prompt)
    val found = digests.takeWhile { it in blocks }.size
    val used = digests.fold(blocks) { kept, digest -> kept.remove(digest).put(digest, Unit) }
    val surplus = (used.size - capacity).coerceAtLeast(0)
    val bounded = used.keys.take(surplus).fold(used) { kept, digest -> kept.remove(digest) }
    return PrefixLookup(PrefixCache(bounded), cachedTokens = found * BLOCK_TOKENS)
}

private fun prefixDigests(prompt: String): List<Long> =
    prompt
        .chunked(BLOCK_CHARACTERS)
        .filter { it.length == BLOCK_CHARACTERS }
        .runningFold(0L) { digest, block -> mix(digest xor block.hashCode().toLong()) }
        .drop(1)

private const val BLOCK_TOKENS = 16
private const val BLOCK_CHARACTERS = 64
