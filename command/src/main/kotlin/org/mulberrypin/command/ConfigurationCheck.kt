package org.mulberrypin.command

import org.mulberrypin.decisions.checks.ConfigurationDifference
import org.mulberrypin.decisions.checks.ConfigurationFinding

/** The result of checking a configuration; [differences] is null if there was no version in force to compare with. */
internal data class ConfigurationCheck(
    val findings: List<ConfigurationFinding>,
    val differences: List<ConfigurationDifference>?,
)
