/** Registers this instance in the platform's list and hands the list to the parts. */
package org.mulberrypin.service

import org.apache.logging.log4j.LogManager
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.InstanceEntry

/**
 * @property leave marks this instance as leaving
 * @property stop ends the duty
 */
internal data class InstanceWatch(
    val leave: () -> Unit,
    val stop: () -> Unit,
)

internal fun startInstanceWatch(
    context: EntryContext,
    address: String,
    peerAddress: String,
    parts: EntryParts,
): InstanceWatch {
    val instance = context.settings.instance
    val entry =
        InstanceEntry(
            name = instance.name,
            region = instance.region,
            failureDomain = instance.failureDomain,
            address = address,
            peerAddress = peerAddress,
            incarnation = context.incarnation,
        )
    val ring = boundedRing<InstanceEntry>("instances", RING_CAPACITY)
    ring.offer(entry)
    val register = { next: InstanceEntry ->
        val outcome = context.platform.instances.register(next)
        if (outcome is Outcome.Failure) logger.warn("Cannot register: {}.", outcome.fault)
    }
    val duty =
        startDuty("instances", ring, context.clock, INTERVAL_MILLISECONDS, register) { readInstances(context, parts) }
    return InstanceWatch(
        leave = { ring.offer(entry.copy(leaving = true)) },
        stop = {
            context.platform.instances.remove(entry.name)
            duty.stop(INTERVAL_MILLISECONDS)
        },
    )
}

private fun readInstances(
    context: EntryContext,
    parts: EntryParts,
) {
    parts.requests.certaintyChanged(parts.configuration.certain())
    when (val outcome = context.platform.instances.read()) {
        is Outcome.Failure -> {
            logger.warn("Cannot read the list of instances: {}.", outcome.fault)
        }

        is Outcome.Success -> {
            parts.requests.instancesChanged(outcome.value.count { !it.leaving })
            parts.configuration.peersChanged(outcome.value)
            parts.rollouts.peersChanged(outcome.value)
        }
    }
}

private val logger = LogManager.getLogger("instances")
private const val RING_CAPACITY = 16
private const val INTERVAL_MILLISECONDS = 1_000L
