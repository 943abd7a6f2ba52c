/**
 * Starts and stops the network of the demo: a platform, engines, a plain service and three entry instances. All run in
 * this process and communicate over the loopback interface.
 */
package org.mulberrypin.command.demo

import org.mulberrypin.platform.httpPlatform
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.map
import org.mulberrypin.runtime.settings.SettingsOutcome
import org.mulberrypin.runtime.settings.parseEntrySettings
import org.mulberrypin.service.EntryInstance
import org.mulberrypin.service.startEntryInstance
import org.mulberrypin.standins.engine.EngineStandIn
import org.mulberrypin.standins.engine.EngineStandInOptions
import org.mulberrypin.standins.engine.startEngineStandIn
import org.mulberrypin.standins.plainservice.PlainServiceStandIn
import org.mulberrypin.standins.plainservice.startPlainServiceStandIn
import org.mulberrypin.standins.platform.PlatformStandIn
import org.mulberrypin.standins.platform.startPlatformStandIn

/** The running stand-ins and entry instances of the demo. */
internal data class DemoNetwork(
    val platform: PlatformStandIn,
    val engines: List<EngineStandIn>,
    val shop: PlainServiceStandIn,
    val instances: List<EntryInstance>,
)

/** Starts the network; returns the fault of the first instance that fails to start. */
internal fun startDemoNetwork(
    operatorKeySha256: String,
): Outcome<DemoNetwork> {
    val platform = startPlatformStandIn()
    val engineOptions = EngineStandInOptions(model = DEMO_MODEL, tokenMilliseconds = 2)
    val engines = List(ENGINE_COUNT) { startEngineStandIn(engineOptions) }
    val shop = startPlainServiceStandIn()
    val started = failureDomains.map { startDemoInstance(platform.address, it, operatorKeySha256) }
    return allOrFirstFailure(started).map { instances -> DemoNetwork(platform, engines, shop, instances) }
}

/** Shuts the instances down gracefully and then stops the stand-ins, which the instances need while they drain. */
internal fun stopDemoNetwork(network: DemoNetwork) {
    network.instances.map { instance -> Thread(instance.drainAndStop).apply { start() } }.forEach(Thread::join)
    network.engines.forEach { it.stop() }
    network.shop.stop()
    network.platform.stop()
}

private fun startDemoInstance(
    platformAddress: String,
    failureDomain: String,
    operatorKeySha256: String,
): Outcome<EntryInstance> {
    val text = demoSettingsText(platformAddress, failureDomain, operatorKeySha256)
    return when (val settings = parseEntrySettings("demo-$failureDomain.ini", text)) {
        is SettingsOutcome.Valid -> startEntryInstance(settings.settings, httpPlatform(settings.settings.platform))
        is SettingsOutcome.Invalid -> Outcome.Failure(settingsFault(settings))
    }
}

private fun settingsFault(settings: SettingsOutcome.Invalid): Fault =
    Fault("settings", "demo", FaultKind.REFUSED, settings.faults.joinToString("; "))

private fun demoSettingsText(
    platformAddress: String,
    failureDomain: String,
    operatorKeySha256: String,
): String =
    """
    [instance]
    name = demo-$failureDomain
    region = armor
    failure_domain = $failureDomain
    operator_key_sha256 = $operatorKeySha256
    [platform]
    table_address = $platformAddress
    object_address = $platformAddress
    orders_address = $platformAddress
    usage_address = $platformAddress
    instances_address = $platformAddress
    [configuration]
    poll_milliseconds = 500
    [leases]
    duration_milliseconds = 3000
    renewal_milliseconds = 500
    [usage]
    checkpoint_milliseconds = 1000
    window_milliseconds = 5000
    settle_milliseconds = 3000
    """.trimIndent()

private fun allOrFirstFailure(outcomes: List<Outcome<EntryInstance>>): Outcome<List<EntryInstance>> {
    val failure = outcomes.filterIsInstance<Outcome.Failure>().firstOrNull()
    return failure ?: Outcome.Success(outcomes.filterIsInstance<Outcome.Success<EntryInstance>>().map { it.value })
}

internal const val DEMO_MODEL = "sorter-lm"
private const val ENGINE_COUNT = 4
internal val failureDomains = listOf("armor-a", "armor-b", "armor-c")
