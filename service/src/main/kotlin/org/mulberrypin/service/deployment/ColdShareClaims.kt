package org.mulberrypin.service.deployment

import org.mulberrypin.decisions.cold.ColdClaimOutcome
import org.mulberrypin.decisions.cold.ColdClaimStep
import org.mulberrypin.decisions.cold.claimColdShare
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.platform.deployment.RowCondition
import org.mulberrypin.platform.deployment.RowStore
import org.mulberrypin.platform.deployment.RowTransaction
import org.mulberrypin.platform.deployment.RowWrite
import org.mulberrypin.platform.deployment.StoredRow
import org.mulberrypin.platform.deployment.TransactionResult
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.ColdShares

/**
 * Claims shares of cold backend servers in the store. The first attempt assumes that there is no row; a failed
 * condition returns the row, with which the claim is decided or attempted again. Outcomes are reported on event loops.
 */
internal class ColdShareClaims(
    private val instance: String,
    private val store: RowStore,
    private val log: DecisionLog,
    private val onOutcome: (TrafficEffect.ClaimColdShare, ColdClaimOutcome) -> Unit,
) {
    fun claim(effect: TrafficEffect.ClaimColdShare) = proceed(effect, null, ATTEMPT_LIMIT)

    private fun proceed(
        effect: TrafficEffect.ClaimColdShare,
        row: StoredRow?,
        attempts: Int,
    ) {
        val shares = row?.let { log.decodeRecord(it, ColdShares.serializer()) }
        if (row != null && shares == null) return onOutcome(effect, ColdClaimOutcome.Denied)
        when (val step = claimColdShare(shares, instance, effect.budget)) {
            is ColdClaimStep.Decided -> {
                onOutcome(effect, step.outcome)
            }

            is ColdClaimStep.Write -> {
                if (attempts == 0) return onOutcome(effect, ColdClaimOutcome.Unknown("other instances claim, too"))
                write(effect, step, row?.version ?: 0, attempts)
            }
        }
    }

    private fun write(
        effect: TrafficEffect.ClaimColdShare,
        step: ColdClaimStep.Write,
        version: Long,
        attempts: Int,
    ) {
        val key = "${effect.server}/${effect.startedWallMilliseconds}"
        val value = recordJson.encodeToString(ColdShares.serializer(), step.row)
        val transaction = RowTransaction(
            conditions = listOf(RowCondition(StoreTables.COLD_SHARES, "", key, version)),
            writes = listOf(RowWrite(StoreTables.COLD_SHARES, "", key, value)),
        )
        store.transact(transaction) { outcome ->
            when (outcome) {
                is Outcome.Failure -> onOutcome(effect, ColdClaimOutcome.Unknown(outcome.fault.toString()))

                is Outcome.Success -> when (val result = outcome.value) {
                    is TransactionResult.Applied -> onOutcome(effect, step.outcome)
                    is TransactionResult.Conflict -> proceed(effect, result.rows.firstOrNull(), attempts - 1)
                }
            }
        }
    }

    private companion object {
        /** Writes of one claim; each conflict means that another instance has taken a share. */
        private const val ATTEMPT_LIMIT = 4
    }
}
