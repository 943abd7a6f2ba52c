/** Digests of clients' requests, and the records of crashes under them that instances exchange. */
package org.mulberrypin.service.deployment

import com.dynatrace.hash4j.hashing.Hashing
import org.mulberrypin.decisions.traffic.TrafficEffect
import org.mulberrypin.platform.deployment.IncomingCall
import org.mulberrypin.runtime.ServiceClock
import org.mulberrypin.schema.generated.CrashRecord

/** Returns a digest of caller, method, host, path and body, which are the same whenever a client repeats a request. */
internal fun contentDigest(call: IncomingCall): String =
    Hashing
        .xxh3_128()
        .hashStream()
        .putString(call.key.orEmpty())
        .putString(call.method)
        .putString(call.host)
        .putString(call.path)
        .putByteArray(call.body)
        .get()
        .toString()

/** Returns the records of [effect] with wall-clock times, which other instances can compare with theirs. */
internal fun crashRecords(
    effect: TrafficEffect.AnnounceSuspects,
    clock: ServiceClock,
): List<CrashRecord> {
    val offset = clock.readWallMilliseconds() - clock.readMilliseconds()
    return effect.suspects.map { (content, suspect) ->
        CrashRecord(content, suspect.crashes, suspect.lastMilliseconds + offset)
    }
}
