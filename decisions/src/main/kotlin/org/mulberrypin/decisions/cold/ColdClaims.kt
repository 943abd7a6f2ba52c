/**
 * Decides which instances get a share of a cold server. The shares of one lifetime are one row of the store, which
 * names their holders. A holder is entered on the condition that the row is unchanged and never removed, so that there
 * are never more holders than shares.
 */
package org.mulberrypin.decisions.cold

import org.mulberrypin.schema.generated.ColdShares

/** The outcome of a claim. */
public sealed interface ColdClaimOutcome {
    /**
     * This instance holds a share of [requests] in any budget window.
     *
     * @property isEarlier true if an earlier claim entered the instance, maybe that of its previous process
     */
    public data class Held(
        val requests: Int,
        val isEarlier: Boolean,
    ) : ColdClaimOutcome

    /** Other instances hold all shares. */
    public data object Denied : ColdClaimOutcome

    /** The store gave no answer; the claim may have taken effect. */
    public data class Unknown(
        val detail: String,
    ) : ColdClaimOutcome
}

/** What to do about a claim, given the row. */
public sealed interface ColdClaimStep {
    /** The claim is decided. */
    public data class Decided(
        val outcome: ColdClaimOutcome,
    ) : ColdClaimStep

    /** Write [row] on the condition that the row is as it was read; the claim then has [outcome]. */
    public data class Write(
        val row: ColdShares,
        val outcome: ColdClaimOutcome,
    ) : ColdClaimStep
}

/**
 * Decides the claim of [instance] to a share of a lifetime that may get [budget] requests in any second. The first
 * holder sets the terms in the row; a later one keeps to them, and to its own budget if that is smaller.
 *
 * @param row the row; null if there is none
 */
public fun claimColdShare(
    row: ColdShares?,
    instance: String,
    budget: Int,
): ColdClaimStep {
    val shares = minOf(MAX_SHARES, budget)
    val ownRequests = if (shares > 0) minOf(budget / shares, MAX_SHARE_REQUESTS) else 0
    val terms = row ?: ColdShares(shares, ownRequests)
    val requests = minOf(terms.requests, ownRequests)
    return when {
        instance in terms.holders -> ColdClaimStep.Decided(ColdClaimOutcome.Held(requests, isEarlier = true))

        terms.holders.size >= terms.shares || requests <= 0 -> ColdClaimStep.Decided(ColdClaimOutcome.Denied)

        else -> ColdClaimStep.Write(
            terms.copy(holders = terms.holders + instance),
            ColdClaimOutcome.Held(requests, isEarlier = false),
        )
    }
}

/** Shares of a lifetime: one for the instance that runs the tasks of its model and one should that instance die. */
private const val MAX_SHARES = 2

/** Largest share, in requests, since a holder remembers the time of each one in the budget window. */
internal const val MAX_SHARE_REQUESTS: Int = 200
