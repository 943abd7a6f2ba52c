/**
 * The commands that grant and withdraw keys of callers. The key itself is made here and shown once; only its digest
 * leaves this process.
 */
package org.mulberrypin.command

import org.mulberrypin.runtime.Outcome
import org.mulberrypin.runtime.then
import org.mulberrypin.schema.generated.ChangeKind
import org.mulberrypin.schema.generated.ChangeSubject
import org.mulberrypin.schema.generated.Configuration
import org.mulberrypin.schema.generated.ConfigurationChange
import org.mulberrypin.schema.generated.ConfigurationPatch
import org.mulberrypin.schema.generated.Key
import org.mulberrypin.schema.generated.PatchAnswer
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

internal val keyGrantCommand: Command =
    command("key grant", "Makes a key for a team and shows it once.", ::KeyGrantOptions) { options, console ->
        withOperatorClient(options, console) { client -> grantKey(options, client, console) }
    }

internal val keyWithdrawCommand: Command =
    command("key withdraw", "Withdraws a key.", ::KeyWithdrawOptions) { options, console ->
        withOperatorClient(options, console) { client -> withdrawKey(options, client, console) }
    }

private fun grantKey(
    options: KeyGrantOptions,
    client: OperatorClient,
    console: Console,
): ExitCode {
    val secret = newSecret()
    val key = Key(options.name, options.team, sha256(secret), options.role)
    val change = ConfigurationChange(ChangeKind.PUT, ChangeSubject.KEY, options.name, key = key)
    val answer = client.patchNewest("key ${options.name} granted", change) { configuration ->
        "The key ${options.name} exists already.".takeIf { configuration.hasKey(options.name) }
    }
    return reportOutcome(answer, console) { patchAnswer ->
        val exitCode = reportPatch(patchAnswer, console)
        if (patchAnswer.accepted) console.answer("key: $secret")
        exitCode
    }
}

private fun withdrawKey(
    options: KeyWithdrawOptions,
    client: OperatorClient,
    console: Console,
): ExitCode {
    val change = ConfigurationChange(ChangeKind.REMOVE, ChangeSubject.KEY, options.name)
    val answer = client.patchNewest("key ${options.name} withdrawn", change) { configuration ->
        "There is no key ${options.name}.".takeUnless { configuration.hasKey(options.name) }
    }
    return reportOutcome(answer, console) { patchAnswer -> reportPatch(patchAnswer, console) }
}

/**
 * Patches the newest version with [change], unless [objection] speaks against it. Reads again after a stale version,
 * since a change of one key depends on nothing that other operators change at the same time.
 */
private fun OperatorClient.patchNewest(
    reason: String,
    change: ConfigurationChange,
    objection: (Configuration) -> String?,
): Outcome<PatchAnswer> {
    repeat(STALE_VERSION_LIMIT) {
        val answer = configuration().then { current -> patchVersion(current, reason, change, objection) }
        val isStale = answer is Outcome.Success && answer.value.isStale()
        if (!isStale) return answer
    }
    return configuration().then { current -> patchVersion(current, reason, change, objection) }
}

private fun OperatorClient.patchVersion(
    current: Configuration,
    reason: String,
    change: ConfigurationChange,
    objection: (Configuration) -> String?,
): Outcome<PatchAnswer> =
    when (val fault = objection(current)) {
        null -> patch(ConfigurationPatch(current.version, System.getProperty("user.name"), reason, listOf(change)))
        else -> Outcome.Success(PatchAnswer(false, current.version, current.version, listOf(fault)))
    }

private fun PatchAnswer.isStale(): Boolean = !accepted && expectedVersion != currentVersion

private fun Configuration.hasKey(name: String): Boolean = keys.any { it.name == name }

private fun newSecret(): String {
    val bytes = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
}

/** The SHA-256 digest of [text] in hexadecimal. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

private const val SECRET_BYTES = 32
private const val STALE_VERSION_LIMIT = 4
