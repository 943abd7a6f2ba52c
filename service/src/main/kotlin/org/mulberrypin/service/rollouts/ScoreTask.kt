package org.mulberrypin.service.rollouts

import org.mulberrypin.schema.generated.PromptGroup

/** What the scoring duty takes from its ring. */
internal data class ScoreTask(
    val request: Long,
    val group: PromptGroup,
    val text: String,
)
