package org.mulberrypin.runtime

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * A bounded ring that joins the threads of two duties.
 *
 * Offering never blocks: a full ring answers false, and the producer decides what that means. Taking parks the
 * consumer until an element arrives or the wait ends.
 *
 * @property name the name under which the depth of the ring is reported
 * @property capacity the number of elements the ring holds at most
 */
public class BoundedRing<Element : Any> internal constructor(
    public val name: String,
    public val capacity: Int,
) {
    private val elements = ArrayBlockingQueue<Element>(capacity)

    /** The number of elements that wait in the ring. */
    public val depth: Int
        get() = elements.size

    /** Adds [element] and answers true, or answers false when the ring is full. */
    public fun offer(element: Element): Boolean = elements.offer(element)

    /** Takes the oldest element, or answers null when none arrived within [waitMilliseconds]. */
    public fun take(waitMilliseconds: Long): Element? = elements.poll(waitMilliseconds, TimeUnit.MILLISECONDS)
}

/** Creates an empty ring for [capacity] elements. */
public fun <Element : Any> boundedRing(
    name: String,
    capacity: Int,
): BoundedRing<Element> = BoundedRing(name, capacity)
