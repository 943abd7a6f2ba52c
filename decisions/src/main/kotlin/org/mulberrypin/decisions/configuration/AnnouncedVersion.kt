package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch

/**
 * What an announcement says.
 *
 * @property timeoutMilliseconds how long answers are awaited
 */
internal data class AnnouncedVersion(
    val version: Long,
    val patches: List<AcceptedPatch>,
    val timeoutMilliseconds: Long,
)
