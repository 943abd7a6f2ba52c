/** Blocking operations of the store duty. It makes no decisions: every outcome is passed back to the step duty. */
package org.mulberrypin.service.rollouts

import org.mulberrypin.decisions.rollouts.StepEffect
import org.mulberrypin.decisions.rollouts.StepEvent
import org.mulberrypin.decisions.rollouts.StoreResult
import org.mulberrypin.runtime.Outcome

/** An element of the store duty's ring. */
internal data class StoreTask(
    val effect: StepEffect,
)

/** Executes [task] with blocking calls and passes its outcome to [inbox]. */
internal fun executeStoreTask(
    store: StepStore,
    task: StoreTask,
    inbox: RolloutInbox,
) {
    val event = when (val effect = task.effect) {
        is StepEffect.ReadSnapshot -> {
            val snapshot = (store.readSnapshot(effect.key) as? Outcome.Success)?.value
            StepEvent.SnapshotRead(effect.key, snapshot, effect.callNumber)
        }

        is StepEffect.Open -> {
            val (result, objects) = store.open(effect.opening)
            StepEvent.OpeningEnded(effect.opening.key, result, objects)
        }

        is StepEffect.Write -> {
            StepEvent.WriteEnded(effect.write, store.write(effect.write))
        }

        is StepEffect.Renew -> {
            store.renew(effect.heartbeat).let { null }
        }

        is StepEffect.Release -> {
            store.release(effect.key, effect.lease).let { null }
        }

        else -> {
            null
        }
    }
    event?.let { inbox.deliver(RolloutInput.Step(it)) }
}

/** The event that reports [effect] as failed because the store ring was full; null if it needs no outcome. */
internal fun failureEventOf(effect: StepEffect): StepEvent? =
    when (effect) {
        is StepEffect.ReadSnapshot -> StepEvent.SnapshotRead(effect.key, snapshot = null, effect.callNumber)
        is StepEffect.Open -> StepEvent.OpeningEnded(effect.opening.key, StoreResult.FAILED, objects = null)
        is StepEffect.Write -> StepEvent.WriteEnded(effect.write, StoreResult.FAILED)
        else -> null
    }
