package org.mulberrypin.schema

/** The type of the value of a settings key. */
public enum class SettingsFieldKind {
    /** A text, a word from a list or an address. */
    TEXT,

    /** A 32-bit integer. */
    INTEGER,

    /** A 64-bit integer. */
    LONG,

    /** A finite decimal number. */
    DECIMAL,

    /** `true` or `false`. */
    BOOLEAN,
}
