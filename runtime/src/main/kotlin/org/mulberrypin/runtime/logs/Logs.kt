/**
 * Chooses how log lines are written. Both forms go to standard error, so that standard output stays free for what a
 * command answers; both begin with the name of the part that writes the line, which is the name of its logger.
 */
package org.mulberrypin.runtime.logs

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.mulberrypin.schema.generated.LogSettings
import java.net.URI

/** Applies [settings] to all logs of this process, also to those that are open already. */
public fun applyLogSettings(settings: LogSettings) {
    val resource = if (settings.format == JSON_FORMAT) JSON_RESOURCE else PLAIN_RESOURCE
    Configurator.reconfigure(URI("classpath:$resource"))
    Configurator.setRootLevel(Level.toLevel(settings.level, Level.INFO))
}

private const val JSON_FORMAT = "json"
private const val JSON_RESOURCE = "logs-json.xml"
private const val PLAIN_RESOURCE = "log4j2.xml"
