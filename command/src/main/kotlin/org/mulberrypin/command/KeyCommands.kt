/**
 * The commands that grant and withdraw the keys of callers. The key is generated in this process and printed once; only
 * its SHA-256 digest is sent to the instance.
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
    command("key grant", "Generates a key for a team and prints it once.", ::KeyGrantOptions) { options, console ->
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
    val secret = generateSecret()
    val key = Key(options.name, options.team, sha256(secret), options.role)
    val change = ConfigurationChange(ChangeKind.PUT, ChangeSubject.KEY, options.name, key = key)
    val answer = client.patchLatest("key ${options.name} granted", change) { configuration ->
        "A key named ${options.name} already exists.".takeIf { configuration.hasKey(options.name) }
    }
    return reportOutcome(answer, console) { patchAnswer ->
        val exitCode = reportPatch(patchAnswer, console)
        if (patchAnswer.accepted) console.printLine("key: $secret")
        exitCode
    }
}

private fun withdrawKey(
    options: KeyWithdrawOptions,
    client: OperatorClient,
    console: Console,
): ExitCode {
    val change = ConfigurationChange(ChangeKind.REMOVE, ChangeSubject.KEY, options.name)
    val answer = client.patchLatest("key ${options.name} withdrawn", change) { configuration ->
        "No key named ${options.name} exists.".takeUnless { configuration.hasKey(options.name) }
    }
    return reportOutcome(answer, console) { patchAnswer -> reportPatch(patchAnswer, console) }
}

/**
 * Applies [change] to the latest configuration version, unless [rejectionReason] returns a reason not to. Retries when
 * the version has become stale, which is safe because the change of one key does not depend on concurrent changes.
 */
private fun OperatorClient.patchLatest(
    reason: String,
    change: ConfigurationChange,
    rejectionReason: (Configuration) -> String?,
): Outcome<PatchAnswer> {
    repeat(MAX_STALE_RETRIES) {
        val answer = configuration().then { current -> patchVersion(current, reason, change, rejectionReason) }
        val isStale = answer is Outcome.Success && answer.value.isStale()
        if (!isStale) return answer
    }
    return configuration().then { current -> patchVersion(current, reason, change, rejectionReason) }
}

private fun OperatorClient.patchVersion(
    current: Configuration,
    reason: String,
    change: ConfigurationChange,
    rejectionReason: (Configuration) -> String?,
): Outcome<PatchAnswer> =
    when (val fault = rejectionReason(current)) {
        null -> patch(ConfigurationPatch(current.version, System.getProperty("user.name"), reason, listOf(change)))
        else -> Outcome.Success(PatchAnswer(false, current.version, current.version, listOf(fault)))
    }

private fun PatchAnswer.isStale(): Boolean = !accepted && expectedVersion != currentVersion

private fun Configuration.hasKey(name: String): Boolean = keys.any { it.name == name }

private fun generateSecret(): String {
    val bytes = ByteArray(KEY_LENGTH_BYTES).also(SecureRandom()::nextBytes)
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
}

/** Returns the SHA-256 digest of [text] in hexadecimal. */
internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

private const val KEY_LENGTH_BYTES = 32
private const val MAX_STALE_RETRIES = 4
