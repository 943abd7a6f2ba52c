/** Validates requests of trainers before they reach the decisions. All errors of a request are reported together. */
package org.mulberrypin.service.rollouts

import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.BatchRequest
import org.mulberrypin.schema.generated.StepRequest

private const val GROUP_LIMIT = 4096
private const val SAMPLE_LIMIT = 65_536
private const val NAME_LENGTH_LIMIT = 128
private val namePattern = Regex("[A-Za-z0-9._-]{1,$NAME_LENGTH_LIMIT}")

/** Returns [request], or a fault that lists every error in it. */
internal fun validateStepRequest(request: StepRequest): Outcome<StepRequest> {
    val names = request.groups.map { it.group }
    return resultOf(
        request,
        request.trainer,
        nameErrors(request.trainer, request.step) + listOfNotNull(
            "The model name is missing.".takeIf { request.model.isEmpty() },
            "Expected 1 to $GROUP_LIMIT groups.".takeIf { names.size !in 1..GROUP_LIMIT },
            "Group names are not unique.".takeIf { names.toSet().size != names.size },
            "Expected letters, digits or ._- in group names.".takeIf { names.any { !namePattern.matches(it) } },
            "Expected at least 1 sample in each group.".takeIf { request.groups.any { it.samples < 1 } },
            "More than $SAMPLE_LIMIT samples.".takeIf { request.groups.sumOf { it.samples.toLong() } > SAMPLE_LIMIT },
            "The staleness bound is negative.".takeIf { request.stalenessBound < 0 },
        ),
    )
}

/** Returns [request], or a fault that lists every error in it. */
internal fun validateBatchRequest(request: BatchRequest): Outcome<BatchRequest> =
    resultOf(
        request,
        request.trainer,
        nameErrors(request.trainer, request.step) +
            listOfNotNull("The acknowledged batch number is negative.".takeIf { request.acknowledged < 0 }),
    )

private fun nameErrors(
    trainer: String,
    step: String,
): List<String> =
    listOf("trainer" to trainer, "step" to step)
        .filter { !namePattern.matches(it.second) }
        .map { "The ${it.first}: expected 1 to $NAME_LENGTH_LIMIT letters, digits or ._-, found '${it.second}'." }

private fun <Request> resultOf(
    request: Request,
    trainer: String,
    errors: List<String>,
): Outcome<Request> =
    if (errors.isEmpty()) {
        Outcome.Success(request)
    } else {
        Outcome.Failure(Fault("check rollout call", trainer, FaultKind.REFUSED, errors.joinToString(" ")))
    }
