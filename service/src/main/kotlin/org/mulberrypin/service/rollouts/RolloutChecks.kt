/** What a trainer's request must satisfy before the decisions see it. All faults of a request are named at once. */
package org.mulberrypin.service.rollouts

import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.StepRequest

private const val GROUP_LIMIT = 4096
private const val SAMPLE_LIMIT = 65_536
private const val NAME_LENGTH = 128
private val name = Regex("[A-Za-z0-9._-]{1,$NAME_LENGTH}")

internal fun checkStepRequest(request: StepRequest): Outcome<StepRequest> {
    val names = request.groups.map { it.group }
    return check(
        request,
        request.trainer,
        nameFaults(request.trainer, request.step) + listOfNotNull(
            "The model is missing.".takeIf { request.model.isEmpty() },
            "Between 1 and $GROUP_LIMIT groups are needed.".takeIf { names.size !in 1..GROUP_LIMIT },
            "Each group needs a name of its own.".takeIf { names.toSet().size != names.size },
            "A group name has other characters than letters, digits and ._-".takeIf { names.any { !name.matches(it) } },
            "Each group needs at least one sample.".takeIf { request.groups.any { it.samples < 1 } },
            "More than $SAMPLE_LIMIT samples.".takeIf { request.groups.sumOf { it.samples.toLong() } > SAMPLE_LIMIT },
            "The staleness bound is negative.".takeIf { request.stalenessBound < 0 },
        ),
    )
}

internal fun checkBatchRequest(request: BatchRequest): Outcome<BatchRequest> =
    check(
        request,
        request.trainer,
        nameFaults(request.trainer, request.step) +
            listOfNotNull("The acknowledged number is negative.".takeIf { request.acknowledged < 0 }),
    )

private fun nameFaults(
    trainer: String,
    step: String,
): List<String> =
    listOf("trainer" to trainer, "step" to step)
        .filter { !name.matches(it.second) }
        .map { "The ${it.first} needs 1 to $NAME_LENGTH letters, digits or ._- but is '${it.second}'." }

private fun <Request> check(
    request: Request,
    trainer: String,
    faults: List<String>,
): Outcome<Request> =
    if (faults.isEmpty()) {
        Outcome.Success(request)
    } else {
        Outcome.Failure(Fault("check rollout call", trainer, FaultKind.REFUSED, faults.joinToString(" ")))
    }
