/** A cache of prompt prefixes with limited memory, in blocks of equal length. */
package org.mulberrypin.standins.engine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.standins.text.mix

/** Digests of the cached prefixes, least recently used first. */
internal data class PrefixCache(
    val blocks: PersistentMap<Long, Unit> = persistentMapOf(),
)

/**
 * @property cache the cache after the use
 * @property cachedTokens tokens of the prompt that were found
 */
internal data class PrefixUse(
    val cache: PrefixCache,
    val cachedTokens: Int,
)

/** Uses the prefixes of [prompt] and keeps them, at most [capacity] blocks of all prompts together. */
internal fun PrefixCache.use(
    prompt: String,
    capacity: Int,
): PrefixUse {
    val digests = prefixDigests(prompt)
    val found = digests.takeWhile { it in blocks }.size
    val used = digests.fold(blocks) { kept, digest -> kept.remove(digest).put(digest, Unit) }
    val surplus = (used.size - capacity).coerceAtLeast(0)
    val bounded = used.keys.take(surplus).fold(used) { kept, digest -> kept.remove(digest) }
    return PrefixUse(PrefixCache(bounded), cachedTokens = found * BLOCK_TOKENS)
}

private fun prefixDigests(prompt: String): List<Long> =
    prompt
        .chunked(BLOCK_CHARACTERS)
        .filter { it.length == BLOCK_CHARACTERS }
        .runningFold(0L) { digest, block -> mix(digest xor block.hashCode().toLong()) }
        .drop(1)

private const val BLOCK_TOKENS = 16
private const val BLOCK_CHARACTERS = 64
