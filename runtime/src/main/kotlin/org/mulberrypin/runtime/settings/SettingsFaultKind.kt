package org.mulberrypin.runtime.settings

/** The kinds of errors in a settings file. */
public enum class SettingsFaultKind {
    /** The file is missing or cannot be read as an INI file. */
    UNREADABLE_FILE,

    /** A key precedes the first section header. */
    KEY_OUTSIDE_SECTION,

    /** The schema defines no section of this name. */
    UNKNOWN_SECTION,

    /** The schema defines no key of this name in the section. */
    UNKNOWN_KEY,

    /** The section contains the key more than once. */
    REPEATED_KEY,

    /** A required key is missing. */
    MISSING_KEY,

    /** The value does not have the type that the schema defines. */
    WRONG_KIND,

    /** The value is a number with a unit, which must be omitted because each key has a fixed unit. */
    WRONG_UNIT,

    /** The number is outside the range that the schema defines. */
    OUTSIDE_RANGE,

    /** The value is not one of the allowed words. */
    UNKNOWN_WORD,

    /** The value is not an address in the form host:port. */
    WRONG_ADDRESS,

    /** Values that are valid by themselves violate a constraint between keys. */
    CONFLICT,
}
