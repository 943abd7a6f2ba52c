package org.mulberrypin.command.deployment

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.mulberrypin.command.processes.ProgramProcess
import org.mulberrypin.standins.deployment.CALLER_KEY
import org.mulberrypin.standins.deployment.callerStandIn
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Files
import java.nio.file.Path

/** Tests the reaction of an entry process to the signals that the platform sends: SIGHUP and SIGTERM. */
class EntrySignalTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `continues to serve after SIGHUP and exits on SIGTERM`() {
        DeploymentEnvironment().use { environment ->
            val file = folder.resolve("entry.json")
            Files.writeString(
                file,
                """{"nodeName":"entry-1","ip":"127.0.0.1","zone":"zone-a",""" +
                    """"bind":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},"bounds":{"graceS":4},""" +
                    """"platform":{"address":"${environment.store.address}"}}""",
            )
            val process = ProgramProcess.startUntil("callers=", "entry", "--settings", file.toString())
            val caller = callerAt(process.address)
            await("the first response") { caller("id-1") == OK }
            repeat(2) { process.sendHangup() }
            Thread.sleep(TERMINATION_MILLISECONDS)
            expectThat(process.isAlive).isTrue()
            expectThat(caller("id-2")).isEqualTo(OK)
            expectThat(process.terminate()).isTrue()
        }
    }

    private fun callerAt(address: String): (String) -> Int {
        val port = address.substringAfterLast(':').toInt()
        val caller = callerStandIn(port)
        return { id ->
            caller
                .request("/orders/1", id, CALLER_KEY)
                .status()
                .code()
        }
    }

    private companion object {
        private const val OK = 200

        /** Time within which a process without a SIGHUP handler would have ended, in milliseconds. */
        private const val TERMINATION_MILLISECONDS = 3_000L
    }
}
