package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch

/**
 * The version that a fan-out announces.
 *
 * @property version configuration version that the receivers compare with their own
 * @property patches newest patches that led to the version, so that receivers need not read the table service
 * @property timeoutMilliseconds time after which the fan-out completes without the missing answers
 */
internal data class AnnouncedVersion(
    val version: Long,
    val patches: List<AcceptedPatch>,
    val timeoutMilliseconds: Long,
)
