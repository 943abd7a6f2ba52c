package org.mulberrypin.service.deployment

import org.junit.jupiter.api.Test
import org.mulberrypin.platform.deployment.FeedResult
import org.mulberrypin.platform.deployment.RowPage
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** A followed table whose call never ends, as when the handler of its response fails. */
class FollowTableTest {
    private val scanning = FollowedTable("servers", listOf(""), feedWaitMilliseconds = 1_000)

    @Test
    fun `a call in flight is not sent again before its timeout`() {
        val sent = scanning.nextCall(0)?.first
        expectThat(sent?.nextCall(1_600)).isNull()
    }

    @Test
    fun `a call that never ends is sent again, and its late response is ignored`() {
        val sent = scanning.nextCall(0)?.first
        val again = sent?.nextCall(6_000)?.first
        expectThat(again?.callNumber).isEqualTo(2)
        val late = again?.applyPage(1, Outcome.Success(RowPage(emptyList(), false, 9)), 6_010)
        expectThat(late).isEqualTo(again)
    }

    @Test
    fun `the feed goes on from the version it had`() {
        val scanned = scanning.nextCall(0)?.first?.applyPage(1, Outcome.Success(RowPage(emptyList(), false, 9)), 10)
        val following = scanned?.nextCall(20)?.first
        val call = following?.nextCall(6_000)?.second as? FollowCall.Follow
        expectThat(call?.feed?.version).isEqualTo(9)
        val answered = following?.applyFeed(2, Outcome.Success(FeedResult.Changes(emptyList(), 12)), 40)
        expectThat(answered?.version).isNotNull().isEqualTo(12)
    }

    @Test
    fun `after a failure the store is asked to answer at once, and to wait again after its answer`() {
        val scanned = scanning.nextCall(0)?.first?.applyPage(1, Outcome.Success(RowPage(emptyList(), false, 9)), 10)
        val failed = scanned?.nextCall(20)?.first?.applyFeed(2, noAnswer, 1_620)
        val (retried, retry) = checkNotNull(failed?.nextCall(1_720))
        expectThat((retry as FollowCall.Follow).feed.waitMilliseconds).isEqualTo(0)
        val answered = retried.applyFeed(3, Outcome.Success(FeedResult.Changes(emptyList(), 12)), 1_730)
        val next = answered.nextCall(1_740)?.second as? FollowCall.Follow
        expectThat(next?.feed?.waitMilliseconds).isEqualTo(1_000)
    }

    private companion object {
        private val noAnswer = Outcome.Failure(Fault("store feed", "store", FaultKind.UNKNOWN, "no answer"))
    }
}
