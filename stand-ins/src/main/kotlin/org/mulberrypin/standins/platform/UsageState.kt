/** Usage reports, idempotent by window name: a repeated report must have the same lines as the first one. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.UsageAnswer
import org.mulberrypin.schema.generated.UsageWindow

/** The first report of each window, by window name. */
internal data class UsageState(
    val windows: PersistentMap<String, UsageWindow> = persistentMapOf(),
)

/** Stores [window] unless a window with its name was reported before. */
internal fun UsageState.store(window: UsageWindow): UsageState =
    if (window.name in windows) this else UsageState(windows.put(window.name, window))

/** The response to the report of [window], once the first report with its name is stored. */
internal fun UsageState.responseTo(window: UsageWindow): UsageAnswer =
    if (windows[window.name]?.lines == window.lines) {
        UsageAnswer(accepted = true)
    } else {
        UsageAnswer(accepted = false, reason = "The usage window ${window.name} was reported with different lines.")
    }
