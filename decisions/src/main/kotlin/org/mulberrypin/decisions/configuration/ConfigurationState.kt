/**
 * State of configuration distribution on one instance. Its collections are bounded: the patches stored for peers, the
 * fan-outs in progress and the pending submissions. Beyond the limits, an announcement is answered without being
 * relayed and a submission is refused as not run.
 */
package org.mulberrypin.decisions.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.mulberrypin.schema.generated.AcceptedPatch
import org.mulberrypin.schema.generated.Configuration

/**
 * State of the versioned configuration on one instance. Times are those of the clock of this process.
 *
 * @property configuration the configuration applied on this instance; its version never decreases
 * @property recentPatches the newest patches that led to it, oldest first, sent to peers with an older version
 * @property members the other instances in the platform's list
 * @property quorumPopulation number of instances, this one included, from which a majority is computed
 * @property evidence evidence that the configuration is the newest accepted one
 * @property hasReadStore true once this process has read the table service; before that it does not count towards a
 * majority
 * @property readStartMilliseconds start of the pending read of the table service, or null
 * @property nextReadMilliseconds time of the next read of the table service
 * @property nextPeerQueryMilliseconds earliest time at which peers are queried for evidence again
 * @property nextQuorumCheckMilliseconds earliest time of the next quorum check
 * @property fanouts fan-outs in progress, by number
 * @property submissions pending patches of operators, by the number of the operator's request
 * @property nextFanoutNumber number of the next fan-out
 */
public data class ConfigurationState(
    val instance: String,
    val incarnation: Long,
    val timeLimits: ConfigurationTimeLimits,
    val configuration: Configuration = Configuration(),
    val recentPatches: PersistentList<AcceptedPatch> = persistentListOf(),
    val members: List<Member> = emptyList(),
    val quorumPopulation: Int = 1,
    val evidence: VersionEvidence = VersionEvidence(),
    val hasReadStore: Boolean = false,
    val readStartMilliseconds: Long? = null,
    val nextReadMilliseconds: Long = Long.MIN_VALUE,
    val nextPeerQueryMilliseconds: Long = Long.MIN_VALUE,
    val nextQuorumCheckMilliseconds: Long = Long.MIN_VALUE,
    val fanouts: PersistentMap<Long, Fanout> = persistentMapOf(),
    val submissions: PersistentMap<Long, Submission> = persistentMapOf(),
    val nextFanoutNumber: Long = 0,
) {
    /** Version of the configuration applied on this instance. */
    val version: Long
        get() = configuration.version

    /** Returns whether [count] instances form a majority. */
    internal fun isMajority(count: Int): Boolean = 2 * count > quorumPopulation
}

/** Maximum number of patches stored for peers; a peer that is further behind reads the table service. */
public const val RECENT_PATCH_LIMIT: Int = 32

/** Maximum number of fan-outs in progress; further announcements are answered without being relayed. */
public const val FANOUT_LIMIT: Int = 64

/** Maximum number of pending submissions; further ones are refused as not run. */
public const val SUBMISSION_LIMIT: Int = 16
