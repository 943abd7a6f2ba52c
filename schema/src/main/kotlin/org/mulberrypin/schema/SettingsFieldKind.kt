package org.mulberrypin.schema

/** How the value of a settings key is written. */
public enum class SettingsFieldKind {
    TEXT,
    WHOLE_NUMBER,
    LONG_NUMBER,
    FRACTION,
    SWITCH,
}
