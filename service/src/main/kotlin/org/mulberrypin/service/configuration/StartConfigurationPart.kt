package org.mulberrypin.service.configuration

import org.apache.logging.log4j.LogManager
import org.mulberrypin.decisions.configuration.ConfigurationEvent
import org.mulberrypin.runtime.boundedRing
import org.mulberrypin.runtime.startDuty
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.service.EntryContext

/**
 * Starts the configuration duty and the store duty, which makes the blocking calls to the platform.
 *
 * @param onConfiguration called on the configuration duty's thread for each newly applied version; must not block
 */
public fun startConfigurationPart(
    context: EntryContext,
    onConfiguration: (Configuration) -> Unit,
): ConfigurationPart {
    val ring = boundedRing<ConfigurationEvent>("configuration", EVENT_RING_CAPACITY)
    val storeRing = boundedRing<StoreOperation>("configuration store", STORE_RING_CAPACITY)
    val duty = ConfigurationDuty(context, ring, storeRing, onConfiguration)
    val decisionDuty = startDuty("configuration", ring, context.clock, TICK_MILLISECONDS, duty::handle) {
        duty.handle(ConfigurationEvent.Tick)
    }
    val storeDuty = startDuty("configuration store", storeRing, context.clock, STORE_TICK_MILLISECONDS, { operation ->
        executeStoreOperation(operation, context.platform, context.clock) { event ->
            if (!ring.offer(event)) logger.warn("Ring full; dropped the result of a store operation.")
        }
    }) {}
    val operatorKey = context.settings.instance.operatorKeySha256
    val authenticateOperator = { header: String? -> hasBearerDigest(header, operatorKey) }
    return ConfigurationPart(
        current = duty::configuration,
        isConfigurationConfirmed = duty::isConfigurationConfirmed,
        authenticate = { header -> findCaller(duty.keys, header) },
        authenticateOperator = authenticateOperator,
        routes = operatorRoutes(authenticateOperator, duty::configuration, duty::submit, storeRing::offer),
        handleAnnounce = duty::announce,
        peersChanged = { entries ->
            if (!ring.offer(ConfigurationEvent.MembersChanged(entries))) logger.warn("Ring full; dropped a peer list.")
        },
        stop = {
            decisionDuty.stop(STOP_MILLISECONDS)
            storeDuty.stop(STOP_MILLISECONDS)
        },
    )
}

private val logger = LogManager.getLogger("configuration")
private const val EVENT_RING_CAPACITY = 1_024
private const val STORE_RING_CAPACITY = 64
private const val TICK_MILLISECONDS = 100L
private const val STORE_TICK_MILLISECONDS = 200L
private const val STOP_MILLISECONDS = 5_000L
