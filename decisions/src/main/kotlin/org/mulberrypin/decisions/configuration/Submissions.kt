/** How the patch of an operator is judged, prepared, committed and confirmed. */
package org.mulberrypin.decisions.configuration

import org.mulberrypin.schema.generated.AcceptedPatch

internal fun takeSubmission(
    state: ConfigurationState,
    event: ConfigurationEvent.PatchSubmitted,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val refusal = when {
        !state.initialised -> "This instance has not read the table service yet."
        state.submissions.size >= SUBMISSION_LIMIT -> "Too many patches are in hand."
        else -> null
    }
    if (refusal != null) return answer(state, event.operator, SubmissionResult.NotRun(refusal, state.version))
    val submission = Submission(event.patch, event.wallMilliseconds, nowMilliseconds, SubmissionStage.READING)
    val noted = state.copy(submissions = state.submissions.put(event.operator, submission))
    return if (event.patch.expectedVersion > state.version) {
        startRead(noted, nowMilliseconds)
    } else {
        judge(noted, event.operator, nowMilliseconds)
    }
}

/** Judges the patches that waited for a read which started after they had arrived. */
internal fun judgeReadSubmissions(
    state: ConfigurationState,
    readMilliseconds: Long,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.submissions
        .filterValues { it.stage == SubmissionStage.READING && it.startMilliseconds <= readMilliseconds }
        .keys
        .fold(ConfigurationTransition(state)) { transition, operator ->
            transition.then { judge(it, operator, nowMilliseconds) }
        }

/** Goes on to the commit when a majority can be reached, so that no patch is committed that cannot be accepted. */
internal fun endPreparation(
    state: ConfigurationState,
    fanout: Fanout,
    operator: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[operator] ?: return ConfigurationTransition(state)
    val confirmed = countConfirmed(state, fanout)
    return when {
        fanout.highestVersion > fanout.version -> {
            val waiting = submission.copy(stage = SubmissionStage.READING, startMilliseconds = nowMilliseconds)
            startRead(state.copy(submissions = state.submissions.put(operator, waiting)), nowMilliseconds)
        }

        !state.isMajority(confirmed) -> {
            val reason = "$confirmed of ${state.quorumBase} instances answered; expected a majority."
            answer(state, operator, SubmissionResult.NotRun(reason, state.version))
        }

        else -> {
            commit(takeSurvey(state, fanout), operator, submission, nowMilliseconds)
        }
    }
}

internal fun takeCommitEnd(
    state: ConfigurationState,
    event: ConfigurationEvent.CommitEnded,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[event.operator] ?: return ConfigurationTransition(state)
    return when (event.result) {
        CommitResult.COMMITTED -> {
            announceCommitted(state, event.operator, submission, nowMilliseconds)
        }

        CommitResult.SUPERSEDED -> {
            val expected = submission.patch.expectedVersion
            answer(state, event.operator, SubmissionResult.Stale(expected, maxOf(state.version, expected + 1)))
                .then { startRead(it, nowMilliseconds) }
        }

        CommitResult.NOT_RUN -> {
            if (submission.commitUncertain) {
                repeatLater(state, event.operator, submission, nowMilliseconds)
            } else {
                val reason = "The table service could not be reached."
                answer(state, event.operator, SubmissionResult.NotRun(reason, state.version))
            }
        }

        CommitResult.UNKNOWN -> {
            repeatLater(state, event.operator, submission.copy(commitUncertain = true), nowMilliseconds)
        }
    }
}

/** Answers the operator as soon as all have confirmed, or when a majority has and the others stay silent. */
internal fun endConfirmation(
    state: ConfigurationState,
    fanout: Fanout,
    operator: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions[operator] ?: return ConfigurationTransition(state)
    val confirmed = countConfirmed(state, fanout)
    val waitedMilliseconds = nowMilliseconds - submission.committedMilliseconds
    val all = confirmed > state.members.size
    val accepted = state.isMajority(confirmed) && (all || waitedMilliseconds >= STRAGGLER_WAIT_MILLISECONDS)
    return if (accepted) {
        answer(state, operator, SubmissionResult.Accepted(fanout.version, inForce = all))
    } else {
        repeatLater(state, operator, submission, nowMilliseconds)
    }
}

/** Repeats steps that are due and ends submissions that took too long. */
internal fun stepSubmissions(
    state: ConfigurationState,
    nowMilliseconds: Long,
): ConfigurationTransition =
    state.submissions.entries.fold(ConfigurationTransition(state)) { transition, (operator, submission) ->
        transition.then { current ->
            if (current.submissions[operator] === submission) {
                step(current, operator, submission, nowMilliseconds)
            } else {
                ConfigurationTransition(current)
            }
        }
    }

private fun step(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val late = nowMilliseconds - submission.startMilliseconds >= state.bounds.forceMilliseconds * SUBMISSION_BOUNDS
    val due = nowMilliseconds >= submission.nextStepMilliseconds
    return when (submission.stage) {
        SubmissionStage.READING -> {
            if (late) {
                val reason = "The table service could not be read."
                answer(state, operator, SubmissionResult.NotRun(reason, state.version))
            } else {
                ConfigurationTransition(state)
            }
        }

        SubmissionStage.PREPARING -> {
            ConfigurationTransition(state)
        }

        SubmissionStage.COMMITTING -> {
            when {
                late && submission.commitUncertain -> {
                    answer(state, operator, unconfirmed(submission, "The answer of the table service was lost."))
                }

                due -> {
                    commit(state, operator, submission, nowMilliseconds)
                }

                else -> {
                    ConfigurationTransition(state)
                }
            }
        }

        SubmissionStage.CONFIRMING -> {
            when {
                late -> answer(state, operator, unconfirmed(submission, "No majority has confirmed the version."))
                due -> announce(state, operator, submission, nowMilliseconds)
                else -> ConfigurationTransition(state)
            }
        }
    }
}

private fun judge(
    state: ConfigurationState,
    operator: Long,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val submission = state.submissions.getValue(operator)
    return when (val outcome = applyPatch(state.configuration, submission.patch)) {
        is PatchOutcome.Stale -> {
            answer(state, operator, SubmissionResult.Stale(outcome.expectedVersion, outcome.currentVersion))
        }

        is PatchOutcome.Invalid -> {
            val expected = submission.patch.expectedVersion
            answer(state, operator, SubmissionResult.Invalid(expected, state.version, outcome.faults))
        }

        is PatchOutcome.Accepted -> {
            val accepted = AcceptedPatch(
                version = outcome.configuration.version,
                patch = submission.patch,
                acceptedWallMilliseconds = submission.wallMilliseconds,
                acceptedBy = "${state.instance}/${state.incarnation}/$operator",
            )
            prepare(state, operator, submission.copy(accepted = accepted), nowMilliseconds)
        }
    }
}

private fun prepare(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val preparing = submission.copy(stage = SubmissionStage.PREPARING)
    val announced = AnnouncedVersion(state.version, emptyList(), FANOUT_TIMEOUT_MILLISECONDS)
    return startFanout(
        state.copy(submissions = state.submissions.put(operator, preparing)),
        FanoutPurpose.Preparation(operator),
        announced,
        delegateFrom(state, wholeRange),
        nowMilliseconds,
    )
}

private fun commit(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val committing = submission.copy(
        stage = SubmissionStage.COMMITTING,
        nextStepMilliseconds = nowMilliseconds + COMMIT_EXPIRY_MILLISECONDS,
    )
    return ConfigurationTransition(
        state.copy(submissions = state.submissions.put(operator, committing)),
        listOf(ConfigurationEffect.Commit(operator, accepted)),
    )
}

private fun announceCommitted(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val confirming = submission.copy(
        stage = SubmissionStage.CONFIRMING,
        startMilliseconds = nowMilliseconds,
        committedMilliseconds = nowMilliseconds,
    )
    return adopt(state, null, listOf(accepted))
        .then { announce(it, operator, confirming, nowMilliseconds) }
        .then { ConfigurationTransition(it, snapshots(it, accepted)) }
}

private fun snapshots(
    state: ConfigurationState,
    accepted: AcceptedPatch,
): List<ConfigurationEffect> =
    if (accepted.version % SNAPSHOT_INTERVAL == 0L && state.version == accepted.version) {
        listOf(ConfigurationEffect.WriteSnapshot(state.configuration))
    } else {
        emptyList()
    }

private fun announce(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val accepted = checkNotNull(submission.accepted)
    val waiting = submission.copy(nextStepMilliseconds = Long.MAX_VALUE)
    val patches = state.recent.filter { it.version <= accepted.version }.takeLast(ANNOUNCED_PATCHES)
    return startFanout(
        state.copy(submissions = state.submissions.put(operator, waiting)),
        FanoutPurpose.Confirmation(operator),
        AnnouncedVersion(accepted.version, patches, FANOUT_TIMEOUT_MILLISECONDS),
        delegateFrom(state, wholeRange),
        nowMilliseconds,
    )
}

private fun repeatLater(
    state: ConfigurationState,
    operator: Long,
    submission: Submission,
    nowMilliseconds: Long,
): ConfigurationTransition {
    val waiting = submission.copy(nextStepMilliseconds = nowMilliseconds + REPEAT_MILLISECONDS)
    return ConfigurationTransition(state.copy(submissions = state.submissions.put(operator, waiting)))
}

private fun unconfirmed(
    submission: Submission,
    reason: String,
): SubmissionResult = SubmissionResult.Unconfirmed(submission.patch.expectedVersion + 1, reason)

private fun answer(
    state: ConfigurationState,
    operator: Long,
    result: SubmissionResult,
): ConfigurationTransition =
    ConfigurationTransition(
        state.copy(submissions = state.submissions.remove(operator)),
        listOf(ConfigurationEffect.AnswerOperator(operator, result)),
    )

/** Versions between two snapshots. */
public const val SNAPSHOT_INTERVAL: Long = 100

private const val ANNOUNCED_PATCHES = 4
private const val REPEAT_MILLISECONDS = 1_000L
private const val COMMIT_EXPIRY_MILLISECONDS = 10_000L
private const val STRAGGLER_WAIT_MILLISECONDS = 2_000L
private const val SUBMISSION_BOUNDS = 2
