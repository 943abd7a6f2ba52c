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

/** An entry instance as a process of its own, under the signals that the platform sends. */
class EntrySignalTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `goes on serving after the signal that its settings have changed, and ends when told`() {
        DeploymentWorld().use { world ->
            val file = folder.resolve("entry.json")
            Files.writeString(
                file,
                """{"nodeName":"entry-1","ip":"127.0.0.1","zone":"zone-a",""" +
                    """"bind":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},"bounds":{"graceS":4},""" +
                    """"platform":{"address":"${world.store.address}"}}""",
            )
            val process = ProgramProcess.startUntil("callers=", "entry", "--settings", file.toString())
            val caller = callerAt(process.address)
            await("the first answer") { caller("id-1") == OK }
            repeat(2) { process.hangUp() }
            Thread.sleep(SIGNAL_MILLISECONDS)
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

        /** Time in which a process that a signal ends would have begun to refuse, in milliseconds. */
        private const val SIGNAL_MILLISECONDS = 3_000L
    }
}
