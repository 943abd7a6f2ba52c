/** Checks the value of a single key against the schema. */
package org.mulberrypin.runtime.settings

import kotlinx.serialization.json.JsonPrimitive
import org.mulberrypin.schema.SettingsField
import org.mulberrypin.schema.SettingsFieldKind
import java.math.BigDecimal

/** Parses [value] and checks it against the type, range and allowed words of [field]. */
internal fun checkSettingsValue(
    field: SettingsField,
    value: String,
): SettingsValue =
    when (field.kind) {
        SettingsFieldKind.TEXT -> checkText(field, value)
        SettingsFieldKind.BOOLEAN -> checkBoolean(value)
        SettingsFieldKind.INTEGER -> checkNumber(field, value, value.toIntOrNull())
        SettingsFieldKind.LONG -> checkNumber(field, value, value.toLongOrNull())
        SettingsFieldKind.DECIMAL -> checkNumber(field, value, value.toDoubleOrNull()?.takeIf(Double::isFinite))
    }

/** Describes the values that the field accepts, for error messages. */
internal fun SettingsField.describeExpected(): String =
    when (kind) {
        SettingsFieldKind.BOOLEAN -> BOOLEAN_EXPECTATION

        SettingsFieldKind.TEXT -> when {
            unit == ADDRESS_UNIT -> ADDRESS_EXPECTATION
            WORD_SEPARATOR in unit -> "one of ${unit.split(WORD_SEPARATOR).joinToString(", ")}"
            else -> "a text"
        }

        SettingsFieldKind.INTEGER, SettingsFieldKind.LONG -> describeExpectedNumber("a whole number")

        SettingsFieldKind.DECIMAL -> describeExpectedNumber("a number")
    }

private fun SettingsField.describeExpectedNumber(number: String): String {
    val noun = if (unit.isEmpty()) number else "$number ($unit)"
    return when {
        minimum.isEmpty() && maximum.isEmpty() -> noun
        maximum.isEmpty() -> "$noun of at least $minimum"
        minimum.isEmpty() -> "$noun of at most $maximum"
        else -> "$noun from $minimum to $maximum"
    }
}

private fun checkText(
    field: SettingsField,
    value: String,
): SettingsValue =
    when {
        field.required && value.isEmpty() -> {
            SettingsValue.Rejected(SettingsFaultKind.WRONG_KIND, field.describeExpected())
        }

        field.unit == ADDRESS_UNIT && !isAddress(value) -> {
            SettingsValue.Rejected(SettingsFaultKind.WRONG_ADDRESS, field.describeExpected())
        }

        WORD_SEPARATOR in field.unit && value !in field.unit.split(WORD_SEPARATOR) -> {
            SettingsValue.Rejected(SettingsFaultKind.UNKNOWN_WORD, field.describeExpected())
        }

        else -> {
            SettingsValue.Accepted(JsonPrimitive(value))
        }
    }

private fun checkBoolean(value: String): SettingsValue =
    value.toBooleanStrictOrNull()?.let { boolean -> SettingsValue.Accepted(JsonPrimitive(boolean)) }
        ?: SettingsValue.Rejected(SettingsFaultKind.WRONG_KIND, BOOLEAN_EXPECTATION)

private fun checkNumber(
    field: SettingsField,
    value: String,
    number: Number?,
): SettingsValue =
    when {
        number != null && !isInRange(field, value) -> {
            SettingsValue.Rejected(SettingsFaultKind.OUTSIDE_RANGE, field.describeExpected())
        }

        number != null -> {
            SettingsValue.Accepted(JsonPrimitive(number))
        }

        // The number does not fit the type of the field; the range describes the fault better than the type.
        value.toBigDecimalOrNull() != null && !isInRange(field, value) -> {
            SettingsValue.Rejected(SettingsFaultKind.OUTSIDE_RANGE, field.describeExpected())
        }

        numberWithUnitPattern.matches(value) -> {
            SettingsValue.Rejected(SettingsFaultKind.WRONG_UNIT, "${field.describeExpected()}, written without a unit")
        }

        else -> {
            SettingsValue.Rejected(SettingsFaultKind.WRONG_KIND, field.describeExpected())
        }
    }

private fun isInRange(
    field: SettingsField,
    value: String,
): Boolean {
    val number = BigDecimal(value)
    val isLargeEnough = field.minimum.isEmpty() || number >= BigDecimal(field.minimum)
    val isSmallEnough = field.maximum.isEmpty() || number <= BigDecimal(field.maximum)
    return isLargeEnough && isSmallEnough
}

/** Returns whether [value] is an address in the form host:port; an IPv6 address must be in brackets. */
public fun isAddress(value: String): Boolean =
    addressPattern.matchEntire(value)?.let { match -> match.groupValues[1].toIntOrNull() in FIRST_PORT..LAST_PORT }
        ?: false

private const val ADDRESS_UNIT = "host:port"
private const val WORD_SEPARATOR = "|"
private const val FIRST_PORT = 1
private const val LAST_PORT = 65_535
private const val ADDRESS_EXPECTATION = "an address as host:port with a port from $FIRST_PORT to $LAST_PORT"
private const val BOOLEAN_EXPECTATION = "true or false"
private val numberWithUnitPattern = Regex("""[+-]?\d+(\.\d+)?\s*[A-Za-z%]+""")
private val addressPattern = Regex("""(?:\[[0-9A-Fa-f:.]+]|[A-Za-z0-9_.-]+):(\d{1,5})""")
