/**
 * Configures the format and level of the logs. Both formats are written to standard error, because standard output is
 * reserved for the results of commands; both contain the name of the logger, which names the component.
 */
package org.mulberrypin.runtime.logs

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.mulberrypin.schema.generated.LogSettings
import java.net.URI

/** Applies [settings] to all loggers of this process, including existing ones. */
public fun applyLogSettings(settings: LogSettings) {
    val resource = if (settings.format == JSON_FORMAT) JSON_RESOURCE else PLAIN_RESOURCE
    Configurator.reconfigure(URI("classpath:$resource"))
    Configurator.setRootLevel(Level.toLevel(settings.level, Level.INFO))
}

private const val JSON_FORMAT = "json"
private const val JSON_RESOURCE = "logs-json.xml"
private const val PLAIN_RESOURCE = "log4j2.xml"
