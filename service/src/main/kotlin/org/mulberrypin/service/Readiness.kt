package org.mulberrypin.service

import java.util.concurrent.atomic.AtomicBoolean

/** Whether the balancer should send callers to this instance; false until all parts run and once a shutdown starts. */
internal class Readiness {
    private val ready = AtomicBoolean(false)

    fun set(value: Boolean) = ready.set(value)

    fun get(): Boolean = ready.get()
}
