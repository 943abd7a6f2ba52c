/** Validates the patch of an operatorRequest, checks for a majority, commits the patch and collects confirmations. */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch

internal fun handleSubmission(
    state: ConfigurationState,
    event: ConfigurationEvent.PatchSubmitted,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val refusal = when {
        !state.hasReadStore -> "The instance has not yet read the configuration from the table service."
        state.submissions.size >= SUBMISSION_LIMIT -> "The limit of pending patches on this instance is reached."
        else -> null
    }
    if (refusal != null) return finish(state, event.operatorRequest, SubmissionResult.NotRun(refusal, state.version))
    val submission = Submission(event.patch, event.wallMilliseconds, nowMilliseconds, SubmissionStage.READING)
    val updated = state.copy(submissions = state.submissions.put(event.operatorRequest, submission))
    return if (event.patch.expectedVersion > state.version) {
        startRead(updated, nowMilliseconds)
    } else {
        validateSubmission(updated, event.operatorRequest, nowMilliseconds)
    }
}

/** Validates the submissions that waited for a read, if that read was started after they had arrived. */
internal fun validateAfterRead(
    state: ConfigurationState,
    readStartMilliseconds: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.submissions
        .filterValues { it.stage == SubmissionStage.READING && it.startMilliseconds <= readStartMilliseconds }
        .keys
        .fold(ConfigurationTransition(state)) { transition, operatorRequest ->
            transition.then { validateSubmission(it, operatorRequest, nowMilliseconds) }
        }

/** Starts the commit if a majority is reachable, so that no patch is committed that cannot be accepted. */
internal fun completePreparation(
    state: ConfigurationState,
    fanout: Fanout,
    operatorRequest: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[operatorRequest] ?: return ConfigurationTransition(state)
    val confirmed = countConfirmed(state, fanout)
    return when {
        fanout.highestVersion > fanout.version -> {
            val waiting = submission.copy(stage = SubmissionStage.READING, startMilliseconds = nowMilliseconds)
            startRead(state.copy(submissions = state.submissions.put(operatorRequest, waiting)), nowMilliseconds)
        }

        !state.isMajority(confirmed) -> {
            val reason = "$confirmed of ${state.quorumPopulation} instances answered; expected a majority."
            finish(state, operatorRequest, SubmissionResult.NotRun(reason, state.version))
        }

        else -> {
            startCommit(applyQuorumCheck(state, fanout), operatorRequest, submission, nowMilliseconds)
        }
    }
}

internal fun handleCommitEnded(
    state: ConfigurationState,
    event: ConfigurationEvent.CommitEnded,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[event.operatorRequest] ?: return ConfigurationTransition(state)
    return when (event.result) {
        CommitResult.COMMITTED -> {
            applyCommittedPatch(state, event.operatorRequest, submission, nowMilliseconds)
        }

        CommitResult.SUPERSEDED -> {
            val expected = submission.patch.expectedVersion
            finish(
                state,
                event.operatorRequest,
                SubmissionResult.VersionConflict(expected, maxOf(state.version, expected + 1)),
            ).then { startRead(it, nowMilliseconds) }
        }

        CommitResult.NOT_RUN -> {
            if (submission.commitResultUnknown) {
                scheduleRetry(state, event.operatorRequest, submission, nowMilliseconds)
            } else {
                val reason = "The commit did not reach the table service."
                finish(state, event.operatorRequest, SubmissionResult.NotRun(reason, state.version))
            }
        }

        CommitResult.UNKNOWN -> {
            scheduleRetry(state, event.operatorRequest, submission.copy(commitResultUnknown = true), nowMilliseconds)
        }
    }
}

/**
 * Completes the submission once all instances have confirmed, or once a majority has and
 * [STRAGGLER_WAIT_MILLISECONDS] have passed since the commit; otherwise the announcement is retried.
 */
internal fun completeConfirmation(
    state: ConfigurationState,
    fanout: Fanout,
    operatorRequest: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[operatorRequest] ?: return ConfigurationTransition(state)
    val confirmed = countConfirmed(state, fanout)
    val elapsedMilliseconds = nowMilliseconds - submission.committedMilliseconds
    val allConfirmed = confirmed > state.members.size
    val accepted = state.isMajority(confirmed) && (allConfirmed || elapsedMilliseconds >= STRAGGLER_WAIT_MILLISECONDS)
    return if (accepted) {
        finish(state, operatorRequest, SubmissionResult.Accepted(fanout.version, inForce = allConfirmed))
    } else {
        scheduleRetry(state, operatorRequest, submission, nowMilliseconds)
    }
}

/** Retries due commits and announcements, and ends submissions that have timed out. */
internal fun advanceSubmissions(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.submissions.entries.fold(ConfigurationTransition(state)) { transition, (operatorRequest, submission) ->
        transition.then { current ->
            if (current.submissions[operatorRequest] === submission) {
                advanceSubmission(current, operatorRequest, submission, nowMilliseconds)
            } else {
                ConfigurationTransition(current)
            }
        }
    }

private fun advanceSubmission(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val timedOut =
        nowMilliseconds - submission.startMilliseconds >= state.timeLimits.forceMilliseconds * SUBMISSION_TIMEOUT_FACTOR
    val due = nowMilliseconds >= submission.nextRetryMilliseconds
    return when (submission.stage) {
        SubmissionStage.READING -> {
            if (timedOut) {
                val reason = "No read of the table service completed in time."
                finish(state, operatorRequest, SubmissionResult.NotRun(reason, state.version))
            } else {
                ConfigurationTransition(state)
            }
        }

        SubmissionStage.PREPARING -> {
            ConfigurationTransition(state)
        }

        SubmissionStage.COMMITTING -> {
            when {
                timedOut && submission.commitResultUnknown -> {
                    finish(state, operatorRequest, unconfirmed(submission, "The table service's response was lost."))
                }

                due -> {
                    startCommit(state, operatorRequest, submission, nowMilliseconds)
                }

                else -> {
                    ConfigurationTransition(state)
                }
            }
        }

        SubmissionStage.CONFIRMING -> {
            when {
                timedOut -> finish(
                    state,
                    operatorRequest,
                    unconfirmed(submission, "No majority confirmed the version."),
                )

                due -> startConfirmation(state, operatorRequest, submission, nowMilliseconds)

                else -> ConfigurationTransition(state)
            }
        }
    }
}

private fun validateSubmission(
    state: ConfigurationState,
    operatorRequest: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions.getValue(operatorRequest)
    return when (val outcome = applyPatch(state.configuration, submission.patch)) {
        is PatchOutcome.Stale -> {
            finish(
                state,
                operatorRequest,
                SubmissionResult.VersionConflict(outcome.expectedVersion, outcome.currentVersion),
            )
        }

        is PatchOutcome.Invalid -> {
            val expected = submission.patch.expectedVersion
            finish(state, operatorRequest, SubmissionResult.Invalid(expected, state.version, outcome.faults))
        }

        is PatchOutcome.Accepted -> {
            val accepted = AcceptedPatch(
                version = outcome.configuration.version,
                patch = submission.patch,
                acceptedWallMilliseconds = submission.wallMilliseconds,
                acceptedBy = "${state.instance}/${state.incarnation}/$operatorRequest",
            )
            startPreparation(state, operatorRequest, submission.copy(accepted = accepted), nowMilliseconds)
        }
    }
}

private fun startPreparation(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val preparing = submission.copy(stage = SubmissionStage.PREPARING)
    val announced = AnnouncedVersion(state.version, emptyList(), FANOUT_TIMEOUT_MILLISECONDS)
    return startFanout(
        state.copy(submissions = state.submissions.put(operatorRequest, preparing)),
        FanoutPurpose.Preparation(operatorRequest),
        announced,
        delegateRange(state, fullRange),
        nowMilliseconds,
    )
}

private fun startCommit(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val committing = submission.copy(
        stage = SubmissionStage.COMMITTING,
        nextRetryMilliseconds = nowMilliseconds + COMMIT_TIMEOUT_MILLISECONDS,
    )
    return ConfigurationTransition(
        state.copy(submissions = state.submissions.put(operatorRequest, committing)),
        listOf(ConfigurationEffect.Commit(operatorRequest, accepted)),
    )
}

private fun applyCommittedPatch(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val confirming = submission.copy(
        stage = SubmissionStage.CONFIRMING,
        startMilliseconds = nowMilliseconds,
        committedMilliseconds = nowMilliseconds,
    )
    return applyNewerVersions(state, null, listOf(accepted))
        .then { startConfirmation(it, operatorRequest, confirming, nowMilliseconds) }
        .then { ConfigurationTransition(it, snapshotEffects(it, accepted)) }
}

private fun snapshotEffects(
    state: ConfigurationState,
    accepted: AcceptedPatch,
): List<ConfigurationEffect> =
    if (accepted.version % SNAPSHOT_INTERVAL_VERSIONS == 0L && state.version == accepted.version) {
        listOf(ConfigurationEffect.WriteSnapshot(state.configuration))
    } else {
        emptyList()
    }

private fun startConfirmation(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val waiting = submission.copy(nextRetryMilliseconds = Long.MAX_VALUE)
    val patches = state.recentPatches.filter { it.version <= accepted.version }.takeLast(ANNOUNCEMENT_PATCH_LIMIT)
    return startFanout(
        state.copy(submissions = state.submissions.put(operatorRequest, waiting)),
        FanoutPurpose.Confirmation(operatorRequest),
        AnnouncedVersion(accepted.version, patches, FANOUT_TIMEOUT_MILLISECONDS),
        delegateRange(state, fullRange),
        nowMilliseconds,
    )
}

private fun scheduleRetry(
    state: ConfigurationState,
    operatorRequest: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val waiting = submission.copy(nextRetryMilliseconds = nowMilliseconds + RETRY_DELAY_MILLISECONDS)
    return ConfigurationTransition(state.copy(submissions = state.submissions.put(operatorRequest, waiting)))
}

private fun unconfirmed(
    submission: Submission,
    reason: String,
): SubmissionResult = SubmissionResult.Unconfirmed(submission.patch.expectedVersion + 1, reason)

private fun finish(
    state: ConfigurationState,
    operatorRequest: Long,
    result: SubmissionResult,
): ConfigurationTransition =
    ConfigurationTransition(
        state.copy(submissions = state.submissions.remove(operatorRequest)),
        listOf(ConfigurationEffect.AnswerOperator(operatorRequest, result)),
    )

/** Number of versions between two snapshots. */
public const val SNAPSHOT_INTERVAL_VERSIONS: Long = 100

private const val ANNOUNCEMENT_PATCH_LIMIT = 4
private const val RETRY_DELAY_MILLISECONDS = 1_000L
private const val COMMIT_TIMEOUT_MILLISECONDS = 10_000L
private const val STRAGGLER_WAIT_MILLISECONDS = 2_000L
private const val SUBMISSION_TIMEOUT_FACTOR = 2
