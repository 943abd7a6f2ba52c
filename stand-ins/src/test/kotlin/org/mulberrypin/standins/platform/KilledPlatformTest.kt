package org.mulberrypin.standins.platform

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.platform.Platform
import org.mulberrypin.platform.httpPlatform
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.schema.generated.StandInFaults
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCommitAnswer
import org.mulberrypin.schema.generated.TableWrite
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

@OptIn(ExperimentalKotest::class)
@DisplayName("The HTTP clients of a platform that is killed while they write")
class KilledPlatformTest {
    private fun Outcome<TableCommitAnswer>.kind(): FaultKind? = (this as? Outcome.Failure)?.fault?.kind

    private fun writeRows(
        platform: Platform,
        writer: Int,
        onWritten: (row: Int, FaultKind?) -> Unit,
    ) {
        repeat(ROWS_PER_WRITER) { row ->
            val commit = TableCommit(writes = listOf(TableWrite("$writer/$row", "value")))
            onWritten(row, platform.tables.commit(commit).kind())
        }
    }

    @Test
    fun `return NOT_RUN only for rows that were not written, and success only for rows that were`() {
        runBlocking {
            checkAll(
                PropTestConfig(seed = 41, iterations = 12),
                Arb.int(0..ROWS_PER_WRITER),
                Arb.int(0..5),
            ) { stopAfterRow, lostAnswers ->
                val standIn = startPlatformStandIn()
                standIn.faults.set(StandInFaults(loseAnswers = lostAnswers))
                val platform = httpPlatform(standIn.settings(timeoutMilliseconds = 5_000))
                val kinds = ConcurrentHashMap<String, String>()
                val writers = List(WRITERS) { writer ->
                    thread {
                        writeRows(platform, writer) { row, kind ->
                            kinds["$writer/$row"] = kind?.name ?: SUCCESS
                            if (writer == 0 && row == stopAfterRow) standIn.stop()
                        }
                    }
                }
                writers.forEach(Thread::join)
                standIn.stop()
                val keysOf = { kind: String -> kinds.filterValues { it == kind }.keys }
                expectThat(keysOf(FaultKind.NOT_RUN.name).intersect(standIn.rows().keys)).isEmpty()
                expectThat(keysOf(SUCCESS)).all { isContainedIn(standIn.rows().keys) }
                expectThat(
                    kinds.values.toSet() - listOf(SUCCESS, FaultKind.NOT_RUN.name, FaultKind.UNKNOWN.name),
                ).isEmpty()
            }
        }
    }

    private companion object {
        private const val WRITERS = 4
        private const val ROWS_PER_WRITER = 60
        private const val SUCCESS = "success"
    }
}
