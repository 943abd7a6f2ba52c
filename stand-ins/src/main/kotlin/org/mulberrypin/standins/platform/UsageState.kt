/** Usage reports: the first one under a name is kept, and a later one must hold the same figures. */
package org.mulberrypin.standins.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.UsageAnswer
import org.mulberrypin.schema.generated.UsageWindow

/** The first report of each window, by the window's name. */
internal data class UsageState(
    val windows: PersistentMap<String, UsageWindow> = persistentMapOf(),
)

/** Keeps [window] unless one was reported under its name before. */
internal fun UsageState.keep(window: UsageWindow): UsageState =
    if (window.name in windows) this else UsageState(windows.put(window.name, window))

/** What the sender of [window] is told once this state holds the first report under its name. */
internal fun UsageState.answerTo(window: UsageWindow): UsageAnswer =
    if (windows[window.name]?.lines == window.lines) {
        UsageAnswer(accepted = true)
    } else {
        UsageAnswer(accepted = false, reason = "The window ${window.name} was reported with other figures.")
    }
