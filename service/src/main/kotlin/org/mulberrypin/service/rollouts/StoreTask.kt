package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.StepEffect

/** What the step-store duty takes from its ring. */
internal data class StoreTask(
    val effect: StepEffect,
)
