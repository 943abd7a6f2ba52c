package org.mulberrypin.decisions.objectives

import org.mulberrypin.decisions.surveys.SurveyPeer
import org.mulberrypin.decisions.surveys.SurveyTable
import org.mulberrypin.schema.generated.BurnAnswer
import org.mulberrypin.schema.generated.Team

/**
 * What the decisions about the burn report know.
 *
 * @property instance name of this instance
 * @property countedFromWallMilliseconds start of the counting, in milliseconds since the Unix epoch
 * @property teams the teams, whose objectives apply to events that were counted before too
 * @property peers the other instances
 * @property questions the reports that wait for peers
 */
public data class BurnState(
    val instance: String,
    val countedFromWallMilliseconds: Long,
    val ledger: EventLedger,
    val teams: Map<String, Team> = emptyMap(),
    val peers: List<SurveyPeer> = emptyList(),
    val questions: SurveyTable<Long, BurnAnswer> = SurveyTable(ledger.limits.openQuestions),
)
