package org.mulberrypin.runtime.settings

/** What is wrong at a place of a settings file. */
public enum class SettingsFaultKind {
    /** The file is missing or cannot be read as an INI file. */
    UNREADABLE_FILE,

    /** A key stands before the first section. */
    KEY_OUTSIDE_SECTION,

    /** The schema knows no section of this name. */
    UNKNOWN_SECTION,

    /** The section has no key of this name. */
    UNKNOWN_KEY,

    /** The key stands in the section more than once. */
    REPEATED_KEY,

    /** A key without a default does not stand in the file. */
    MISSING_KEY,

    /** The value is not of the kind that the schema states. */
    WRONG_KIND,

    /** The value is a number with a unit; the unit is part of the key. */
    WRONG_UNIT,

    /** The number is smaller or larger than the schema admits. */
    OUTSIDE_RANGE,

    /** The value is not among the accepted words. */
    UNKNOWN_WORD,

    /** The value is not an address as host:port. */
    WRONG_ADDRESS,

    /** Two values that are acceptable by themselves do not go together. */
    CONFLICT,
}
