package org.mulberrypin.decisions.membership

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Returns the rendezvous hashing score of [candidate] for [subject]. The candidates with the highest scores are chosen,
 * so that adding or removing a candidate changes only the choices that include it.
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
