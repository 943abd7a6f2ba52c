/**
 * The state from which an instance decides about configurations. Its tables are bounded: the patches kept for peers,
 * the announcements under way, and the patches of operators in hand. What arrives beyond a bound is not passed on, or
 * is refused as not run.
 */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/**
 * What an instance knows about the numbered configuration.
 *
 * @property configuration the configuration in force here; its version never falls
 * @property recent the newest patches that led to it, oldest first, for peers that lag behind
 * @property members the other instances of the platform's list
 * @property quorumBase number of instances of which a majority is needed, this one included
 * @property certainty what is known about the configuration being the newest
 * @property initialised true once this process itself has read the table service; only then is it counted
 * @property readSinceMilliseconds start of the read of the table service that is under way, or null
 * @property fanouts announcements under way, by number
 * @property submissions patches of operators in hand, by the number of the operator's request
 * @property nextNumber number of the next announcement
 */
public data class ConfigurationState(
    val instance: String,
    val incarnation: Long,
    val bounds: ConfigurationBounds,
    val configuration: Configuration = Configuration(),
    val recent: PersistentList<AcceptedPatch> = persistentListOf(),
    val members: List<Member> = emptyList(),
    val quorumBase: Int = 1,
    val certainty: Certainty = Certainty(),
    val initialised: Boolean = false,
    val readSinceMilliseconds: Long? = null,
    val nextReadMilliseconds: Long = Long.MIN_VALUE,
    val nextQuestionMilliseconds: Long = Long.MIN_VALUE,
    val nextSurveyMilliseconds: Long = Long.MIN_VALUE,
    val fanouts: PersistentMap<Long, Fanout> = persistentMapOf(),
    val submissions: PersistentMap<Long, Submission> = persistentMapOf(),
    val nextNumber: Long = 0,
) {
    /** The version in force here. */
    val version: Long
        get() = configuration.version

    /** True when [count] instances are a majority. */
    internal fun isMajority(count: Int): Boolean = 2 * count > quorumBase
}

/** Patches kept for peers at most; a peer that lags further behind reads the table service. */
public const val RECENT_LIMIT: Int = 32

/** Announcements under way at most; more are answered for this instance alone. */
public const val FANOUT_LIMIT: Int = 64

/** Patches of operators in hand at most; more are refused as not run. */
public const val SUBMISSION_LIMIT: Int = 16
