package org.mulberrypin.service.frontend

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.mulberrypin.decisions.requests.Caller
import org.mulberrypin.schema.generated.KeyRole
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo

@DisplayName("The authentication of callers")
class CallerGateTest {
    private val caller = Caller("carvers", "shop", KeyRole.CALLER)

    @Nested
    @DisplayName("when the key is only in the authorization header")
    inner class KeyInHeaderOnly {
        @Test
        fun `accepts the request of its caller`() {
            val gate = authenticate(call(path = "/services/shop/orders", body = "two blanks"))
            expectThat(gate).isA<CallerGate.Admitted>().get { caller.team }.isEqualTo("carvers")
        }
    }

    @Nested
    @DisplayName("when the key is also in another part of the request")
    inner class KeyElsewhere {
        @Test
        fun `refuses a key in the path`() = expectRefusal(call(path = "/services/shop/$KEY", body = ""))

        @Test
        fun `refuses a key in the query`() = expectRefusal(call(path = "/services/shop/x?key=$KEY", body = ""))

        @Test
        fun `refuses a key in the body`() = expectRefusal(call(path = "/services/shop/x", body = "my key is $KEY"))

        @Test
        fun `refuses a key in another header`() =
            expectRefusal(call(path = "/services/shop/x", body = "", otherHeader = "Bearer $KEY"))

        private fun expectRefusal(call: AggregatedHttpRequest) {
            val refused = expectThat(authenticate(call)).isA<CallerGate.Refused>()
            refused.get { response.status() }.isEqualTo(HttpStatus.BAD_REQUEST)
            refused.get { response.contentUtf8() }.contains("\"not_run\"")
        }
    }

    @Test
    fun `refuses an unknown key as not run`() {
        val gate =
            authenticateCaller(
                call("/services/shop/x", ""),
                isConfigurationConfirmed = { true },
                authenticate = { null },
            )
        expectThat(gate).isA<CallerGate.Refused>().get { response.status() }.isEqualTo(HttpStatus.UNAUTHORIZED)
    }

    @Test
    fun `refuses all requests as not run while the configuration is not confirmed`() {
        val gate =
            authenticateCaller(
                call("/services/shop/x", ""),
                isConfigurationConfirmed = { false },
                authenticate = { caller },
            )
        expectThat(gate).isA<CallerGate.Refused>().get { response.status() }.isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
    }

    private fun authenticate(call: AggregatedHttpRequest): CallerGate =
        authenticateCaller(call, isConfigurationConfirmed = { true }, authenticate = { caller })

    private fun call(
        path: String,
        body: String,
        otherHeader: String = "plain",
    ): AggregatedHttpRequest {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, path)
                .add(HttpHeaderNames.AUTHORIZATION, "Bearer $KEY")
                .add("x-note", otherHeader)
        return AggregatedHttpRequest.of(headers.build(), HttpData.ofUtf8(body))
    }

    private companion object {
        private const val KEY = "the-key-of-the-carvers"
    }
}
