package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.EntryContext

/**
 * Starts the duty that decides about configurations and the duty that waits for the platform.
 *
 * @param onConfiguration called by the deciding duty for each version that is put in force; must not block
 */
public fun startConfigurationPart(
    context: EntryContext,
    onConfiguration: (Configuration) -> Unit,
): ConfigurationPart {
    val ring = boundedRing<ConfigurationEvent>("configuration", EVENT_CAPACITY)
    val storeRing = boundedRing<StoreWork>("configuration store", STORE_CAPACITY)
    val duty = ConfigurationDuty(context, ring, storeRing, onConfiguration)
    val deciding = startDuty("configuration", ring, context.clock, TICK_MILLISECONDS, duty::handle) {
        duty.handle(ConfigurationEvent.Tick)
    }
    val storing = startDuty("configuration store", storeRing, context.clock, IDLE_MILLISECONDS, { work ->
        doStoreWork(work, context.platform, context.clock) { event ->
            if (!ring.offer(event)) logger.warn("The result of a store operation is dropped.")
        }
    }) {}
    val operatorKey = context.settings.instance.operatorKeySha256
    val authenticateOperator = { header: String? -> isBearerOf(header, operatorKey) }
    return ConfigurationPart(
        current = duty::configuration,
        certain = duty::isCertain,
        authenticate = { header -> findCaller(duty.keys, header) },
        authenticateOperator = authenticateOperator,
        routes = operatorRoutes(authenticateOperator, duty::configuration, duty::submit, storeRing::offer),
        handleAnnounce = duty::announce,
        peersChanged = { entries ->
            if (!ring.offer(ConfigurationEvent.MembersChanged(entries))) logger.warn("A list of peers is dropped.")
        },
        stop = {
            deciding.stop(STOP_MILLISECONDS)
            storing.stop(STOP_MILLISECONDS)
        },
    )
}

private val logger = LogManager.getLogger("configuration")
private const val EVENT_CAPACITY = 1_024
private const val STORE_CAPACITY = 64
private const val TICK_MILLISECONDS = 100L
private const val IDLE_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 5_000L
