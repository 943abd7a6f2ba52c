package org.mulberrypin.standins.platform

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.TableCommit
import org.mulberrypin.schema.generated.TableCondition
import org.mulberrypin.schema.generated.TableWrite
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

@OptIn(ExperimentalKotest::class)
@DisplayName("The table service of the platform stand-in")
class TableStateTest {
    private val keys = Arb.element("a", "b", "c")
    private val condition = Arb.bind(keys, Arb.long(0L..3L)) { key, version -> TableCondition(key, version) }
    private val write = Arb.bind(keys, Arb.boolean()) { key, delete -> TableWrite(key, "value", delete) }
    private val commits = Arb.list(
        Arb.bind(Arb.list(condition, 0..2), Arb.list(write, 1..3)) { conditions, writes ->
            TableCommit(conditions, writes)
        },
        1..40,
    )

    private fun TableState.versionOf(key: String): Long = rows[key]?.version ?: 0

    @Test
    fun `writes all rows of a commit if its conditions hold, and none otherwise`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 21), commits) { sequence ->
                sequence.fold(TableState()) { state, commit ->
                    val holds = commit.conditions.all { state.versionOf(it.key) == it.version }
                    val transition = state.commit(commit)
                    expectThat(transition.answer.committed).isEqualTo(holds)
                    val lastWrites = commit.writes.associateBy { it.key }
                    val written = if (holds) lastWrites else emptyMap()
                    listOf("a", "b", "c").forEach { key ->
                        val expected = written[key]?.let { !it.delete } ?: (key in state.rows)
                        expectThat(key in transition.state.rows).isEqualTo(expected)
                        if (key !in written) expectThat(transition.state.rows[key]).isEqualTo(state.rows[key])
                    }
                    transition.state
                }
            }
        }
    }

    @Test
    fun `increases the version of a key with each write, also after a deletion`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 22), commits) { sequence ->
                val highest = HashMap<String, Long>()
                sequence.fold(TableState()) { state, commit ->
                    val next = state.commit(commit.copy(conditions = emptyList())).state
                    commit.writes.filterNot { it.delete }.map { it.key }.distinct().filter { it in next.rows }.forEach {
                        expectThat(next.versionOf(it)).isGreaterThan(highest.getOrDefault(it, 0))
                        highest[it] = next.versionOf(it)
                    }
                    next
                }
            }
        }
    }
}
