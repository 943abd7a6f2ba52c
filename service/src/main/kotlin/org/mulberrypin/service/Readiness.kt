package org.mulberrypin.service

import java.util.concurrent.atomic.AtomicBoolean

/** Whether the load balancer may route callers here; false until all parts are running and after a shutdown starts. */
internal class Readiness {
    private val ready = AtomicBoolean(false)

    fun set(value: Boolean) = ready.set(value)

    fun get(): Boolean = ready.get()
}
