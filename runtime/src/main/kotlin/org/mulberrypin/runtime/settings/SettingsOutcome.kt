package org.mulberrypin.runtime.settings

/** The result of reading a settings file. */
public sealed interface SettingsOutcome<out Settings> {
    /** The file holds no fault. */
    public data class Valid<Settings>(
        val settings: Settings,
    ) : SettingsOutcome<Settings>

    /** The file holds at least one fault; [faults] has all of them in the order of their lines. */
    public data class Faulty(
        val faults: List<SettingsFault>,
    ) : SettingsOutcome<Nothing>
}
