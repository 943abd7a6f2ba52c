package org.mulberrypin.runtime.settings

/** The result of reading a settings file. */
public sealed interface SettingsOutcome<out Settings> {
    /** The file is valid. */
    public data class Valid<Settings>(
        val settings: Settings,
    ) : SettingsOutcome<Settings>

    /** The file is invalid; [faults] contains all its faults in the order of their lines. */
    public data class Invalid(
        val faults: List<SettingsFault>,
    ) : SettingsOutcome<Nothing>
}
