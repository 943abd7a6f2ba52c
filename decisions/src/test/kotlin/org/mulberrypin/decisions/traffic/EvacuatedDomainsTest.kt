package org.mulberrypin.decisions.traffic

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.mulberrypin.schema.generated.BackendServerEntry
import org.mulberrypin.schema.generated.RequestKind
import org.mulberrypin.schema.generated.ServedModel
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

/** Load pattern: steady requests and a job over three failure domains, of which the operator evacuates some. */
class EvacuatedDomainsTest {
    @Test
    fun `sends no request, retry, scoring call or task to an evacuated domain and lets running work end`() {
        val fixture = domainFixture()
        val runs = fixture.startJob(6)
        val inA = runs.filter { it.server == "engine-a" }
        expectThat(inA.size).isGreaterThan(0)
        fixture.decide(TrafficEvent.DomainsEvacuated(setOf("zone-a")))
        expectThat(fixture.effectsOf<TrafficEffect.CancelTask>()).isEmpty()
        val send = fixture.decide(arrival(1)).filterIsInstance<TrafficEffect.Send>().single()
        expectThat(send.server).isNotEqualTo("plain-a")
        val retry = fixture.decide(response(send, status = 503, notRun = true)).filterIsInstance<TrafficEffect.Send>()
        expectThat(retry.single().server).isNotEqualTo("plain-a")
        fixture.complete(inA.first())
        expectThat(fixture.effectsOf<TrafficEffect.WriteResults>()).hasSize(1)
        if (inA.size > 1) {
            fixture.decide(TrafficEvent.TaskAttemptFailed("job-1", inA[1].task.id, inA[1].attempt, true, "closed"))
            fixture.nowMilliseconds += 1_000
            fixture.decide(TrafficEvent.Tick)
            expectThat(fixture.effectsOf<TrafficEffect.RunTask>().filter { it.server == "engine-a" }).isEmpty()
        }
    }

    @Test
    fun `refuses requests at once and keeps tasks waiting while all domains are evacuated`() {
        val fixture = domainFixture()
        fixture.decide(TrafficEvent.DomainsEvacuated(domains.toSet()))
        expectThat(fixture.startJob(2)).isEmpty()
        fixture.decide(arrival(1))
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().status).isEqualTo(503)
        expectThat(fixture.singleEffect<TrafficEffect.Reject>().retryMilliseconds ?: 0).isGreaterThan(0)
        expectThat(fixture.state.requests).isEmpty()
        fixture.nowMilliseconds += 5_000
        expectThat(fixture.decide(TrafficEvent.Tick).filterIsInstance<TrafficEffect.RunTask>()).isEmpty()
        val takenBack = fixture.decide(TrafficEvent.DomainsEvacuated(setOf("zone-a", "zone-b")))
        expectThat(
            takenBack.filterIsInstance<TrafficEffect.RunTask>().map { it.server }.toSet(),
        ).isEqualTo(setOf("engine-c"))
    }

    @Test
    fun `begins a text anew whose single version only engines of an evacuated domain still have`() {
        val fixture = domainFixture()
        val route = fixture.state.routing
            ?.routesByHost
            ?.getValue(HOST)
            ?.first { it.name == "sort" }
            ?.copy(singleWeightVersion = true)
        val run = fixture.startJob(1).single()
        val newer = servers().map {
            if (it.id == run.server) it else it.copy(models = it.models.map { model -> ServedModel(model.name, 2) })
        }
        fixture.decide(TrafficEvent.BackendsChanged(newer))
        fixture.deliverEvents(run)
        val job = fixture.state.jobs.getValue("job-1")
        val task = job.tasks.getValue(run.task.id)
        expectThat(fixture.state.lacksEngineWithVersion(job, checkNotNull(route), task)).isEqualTo(false)
        val domain = servers().first { it.id == run.server }.failureDomain
        fixture.decide(TrafficEvent.DomainsEvacuated(setOf(domain)))
        expectThat(fixture.state.lacksEngineWithVersion(job, route, task)).isEqualTo(true)
    }

    @Test
    fun `loads no weights in an evacuated domain and spreads its waiting tasks over the others within their slots`() {
        val fixture = domainFixture()
        fixture.decide(TrafficEvent.DomainsEvacuated(setOf("zone-a")))
        fixture.decide(TrafficEvent.VersionsNamed(mapOf(MODEL to 2L)))
        expectThat(fixture.state.loadingServers.filter { it.endsWith("-a") }).isEmpty()
        val byServer = fixture.startJob(30).groupingBy { it.server }.eachCount()
        expectThat(byServer.keys).isEqualTo(setOf("engine-b", "engine-c"))
        byServer.values.forEach { expectThat(it).isLessThan(9) }
    }

    @OptIn(ExperimentalKotest::class)
    @Test
    fun `sends nothing to an evacuated domain whatever the list reads and however attempts end`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 12, iterations = 1_000), Arb.list(steps, 1..40)) { script ->
                val model = EvacuationModel()
                script.forEach(model::apply)
                expectThat(model.wrongSends).isEmpty()
            }
        }
    }
}

private val domains = listOf("zone-a", "zone-b", "zone-c")

private fun servers(): List<BackendServerEntry> =
    domains.flatMap {
        val suffix = it.substringAfter('-')
        listOf(
            plainServer("plain-$suffix").copy(failureDomain = it),
            engine("engine-$suffix").copy(failureDomain = it),
        )
    }

private fun domainFixture() =
    fixture(RequestKind.IDEMPOTENT).also { it.decide(TrafficEvent.BackendsChanged(servers())) }

private enum class EvacuationStepKind {
    ARRIVE,
    EVACUATE,
    TAKE_BACK,
    DROP,
    LIST,
    ANSWER_NOT_RUN,
    FAIL,
    END_TASK,
    FAIL_TASK,
    TICK,
}

private data class EvacuationStep(
    val kind: EvacuationStepKind,
    val domain: Int,
    val milliseconds: Int,
)

private val steps = Arb.bind(Arb.element(EvacuationStepKind.entries), Arb.int(0..2), Arb.int(10..700), ::EvacuationStep)

/** Applies steps to the decisions and collects what is sent to servers of domains that are evacuated at that time. */
private class EvacuationModel {
    private val fixture = domainFixture()
    private val evacuated = HashSet<String>()
    private val listed = servers().toMutableList()
    private val open = ArrayList<TrafficEffect.Send>()
    private val runs = ArrayList<TrafficEffect.RunTask>()
    private var requests = 100L
    val wrongSends = ArrayList<String>()

    init {
        runs += fixture.startJob(6)
    }

    fun apply(step: EvacuationStep) {
        val domain = domains[step.domain]
        fixture.nowMilliseconds += step.milliseconds
        when (step.kind) {
            EvacuationStepKind.ARRIVE -> decide(arrival(++requests))
            EvacuationStepKind.EVACUATE, EvacuationStepKind.TAKE_BACK -> evacuate(step.kind, domain)
            EvacuationStepKind.DROP, EvacuationStepKind.LIST -> list(step.kind, domain)
            EvacuationStepKind.ANSWER_NOT_RUN -> answer { response(it, 503, notRun = true) }
            EvacuationStepKind.FAIL -> answer { TrafficEvent.AttemptFailed(it.request, it.attempt, true, "closed") }
            EvacuationStepKind.END_TASK -> runs.removeFirstOrNull()?.let(::end)
            EvacuationStepKind.FAIL_TASK -> runs.removeFirstOrNull()?.let(::fail)
            EvacuationStepKind.TICK -> decide(TrafficEvent.Tick)
        }
    }

    private fun evacuate(
        kind: EvacuationStepKind,
        domain: String,
    ) {
        if (kind == EvacuationStepKind.EVACUATE) evacuated += domain else evacuated -= domain
        decide(TrafficEvent.DomainsEvacuated(evacuated.toSet()))
    }

    private fun list(
        kind: EvacuationStepKind,
        domain: String,
    ) {
        listed.removeIf { it.failureDomain == domain }
        if (kind == EvacuationStepKind.LIST) listed += servers().filter { it.failureDomain == domain }
        decide(TrafficEvent.BackendsChanged(listed.toList()))
    }

    private fun answer(event: (TrafficEffect.Send) -> TrafficEvent) {
        open.removeFirstOrNull()?.let { decide(event(it)) }
    }

    private fun end(run: TrafficEffect.RunTask) {
        fixture.deliverEvents(run)
        decide(TrafficEvent.TaskEnded(run.job, run.task.id, run.attempt))
    }

    private fun fail(run: TrafficEffect.RunTask) =
        decide(TrafficEvent.TaskAttemptFailed(run.job, run.task.id, run.attempt, true, "closed"))

    private fun decide(event: TrafficEvent) {
        val effects = fixture.decide(event)
        val sends = effects.filterIsInstance<TrafficEffect.Send>()
        val tasks = effects.filterIsInstance<TrafficEffect.RunTask>()
        open += sends
        runs += tasks
        val targets = sends.map { it.server } + tasks.map { it.server }
        wrongSends += targets.filter { "zone-${it.substringAfterLast('-')}" in evacuated }
    }
}
