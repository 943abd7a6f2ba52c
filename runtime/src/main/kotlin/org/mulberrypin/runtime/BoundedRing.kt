package org.mulberrypin.runtime

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * A bounded FIFO queue that passes elements from one duty's thread to another's.
 *
 * [offer] never blocks: it returns false when the ring is full, and the producer decides how to handle that. [take]
 * parks the consumer's thread until an element arrives or the wait time has passed.
 *
 * @property name the name under which metrics report the depth of the ring
 * @property capacity the maximum number of elements
 */
public class BoundedRing<Element : Any> internal constructor(
    public val name: String,
    public val capacity: Int,
) {
    private val elements = ArrayBlockingQueue<Element>(capacity)

    /** The current number of elements. */
    public val depth: Int
        get() = elements.size

    /** Adds [element] and returns true, or returns false when the ring is full. */
    public fun offer(element: Element): Boolean = elements.offer(element)

    /** Removes and returns the oldest element, or returns null when none arrives within [waitMilliseconds]. */
    public fun take(waitMilliseconds: Long): Element? = elements.poll(waitMilliseconds, TimeUnit.MILLISECONDS)
}

/** Creates an empty ring that holds up to [capacity] elements. */
public fun <Element : Any> boundedRing(
    name: String,
    capacity: Int,
): BoundedRing<Element> = BoundedRing(name, capacity)
