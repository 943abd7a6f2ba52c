package org.mulberrypin.decisions.membership

import com.dynatrace.hash4j.hashing.Hashing

/**
 * The score of [candidate] for [subject] in rendezvous hashing. The candidates with the highest scores are chosen, so
 * that a candidate that comes or goes changes only the choices in which it takes part.
 */
public fun rendezvousScore(
    subject: String,
    candidate: String,
): Long = scoreOf(nameHash(subject), nameHash(candidate))

internal fun nameHash(name: String): Long = Hashing.komihash5_0().hashCharsToLong(name)

internal fun scoreOf(
    subjectHash: Long,
    candidateHash: Long,
): Long = Hashing.komihash5_0().hashLongLongToLong(subjectHash, candidateHash)
