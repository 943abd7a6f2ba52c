/** Calls other entry instances over gRPC, without retries. All calls to a peer share one connection. */
package org.mulberrypin.service.peers

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.grpc.GrpcClientStubFactory
import com.linecorp.armeria.client.grpc.GrpcClients
import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.MethodDescriptor
import io.grpc.ServiceDescriptor
import io.grpc.Status
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.service.generated.PeerMethods
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Creates a [PeerClient] that uses gRPC. */
public fun grpcPeerClient(): PeerClient {
    val channels = ConcurrentHashMap<String, Channel>()
    return PeerClient(
        announce = peerCall(channels, PeerMethods.announce),
        runGroup = peerCall(channels, PeerMethods.runGroup),
        nextBatch = peerCall(channels, PeerMethods.nextBatch),
        explain = peerCall(channels, PeerMethods.explain),
        reportCrash = peerCall(channels, PeerMethods.reportCrash),
        copyUsage = peerCall(channels, PeerMethods.copyUsage),
        countEvents = peerCall(channels, PeerMethods.countEvents),
    )
}

private fun <Request : Any, Response : Any> peerCall(
    channels: ConcurrentHashMap<String, Channel>,
    method: MethodDescriptor<Request, Response>,
): PeerCall<Request, Response> =
    { address, timeoutMilliseconds, request, onOutcome ->
        if (channels.size > MAX_CHANNELS) channels.clear()
        val channel = channels.computeIfAbsent(address, ::newChannel)
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMilliseconds, TimeUnit.MILLISECONDS)
        val observer = OutcomeObserver(method.bareMethodName.orEmpty(), address, onOutcome)
        ClientCalls.asyncUnaryCall(channel.newCall(method, options), request, observer)
    }

private fun newChannel(address: String): Channel =
    GrpcClients
        .builder("gproto+h2c://$address/")
        .clientStubFactory(PeerChannelFactory)
        .responseTimeoutMillis(0)
        .build(PeerChannel::class.java)
        .channel

/** A client stub that only exposes its channel, so that calls can be made with method descriptors. */
private class PeerChannel(
    val channel: Channel,
)

private object PeerChannelFactory : GrpcClientStubFactory {
    override fun findServiceDescriptor(clientType: Class<*>): ServiceDescriptor? =
        if (clientType == PeerChannel::class.java) peerServiceDescriptor else null

    override fun newClientStub(
        clientType: Class<*>,
        channel: Channel,
    ): Any = PeerChannel(channel)
}

private val peerServiceDescriptor: ServiceDescriptor =
    ServiceDescriptor
        .newBuilder(PeerMethods.SERVICE)
        .addMethod(PeerMethods.announce)
        .addMethod(PeerMethods.runGroup)
        .addMethod(PeerMethods.nextBatch)
        .addMethod(PeerMethods.explain)
        .addMethod(PeerMethods.reportCrash)
        .addMethod(PeerMethods.copyUsage)
        .addMethod(PeerMethods.countEvents)
        .build()

private class OutcomeObserver<Response : Any>(
    private val step: String,
    private val peer: String,
    private val onOutcome: (Outcome<Response>) -> Unit,
) : StreamObserver<Response> {
    override fun onNext(response: Response) = onOutcome(Outcome.Success(response))

    override fun onError(failure: Throwable) {
        val status = Status.fromThrowable(failure)
        val detail = status.description ?: status.code.name
        onOutcome(Outcome.Failure(Fault("peer $step", peer, faultKind(status), detail)))
    }

    override fun onCompleted() = Unit
}

private fun faultKind(status: Status): FaultKind =
    when (status.code) {
        Status.Code.FAILED_PRECONDITION, Status.Code.INVALID_ARGUMENT -> FaultKind.REFUSED
        Status.Code.ABORTED -> FaultKind.CONFLICT
        Status.Code.RESOURCE_EXHAUSTED -> FaultKind.NOT_RUN
        else -> if (status.cause is UnprocessedRequestException) FaultKind.NOT_RUN else FaultKind.UNKNOWN
    }

/** Maximum number of cached channels; above it the cache is cleared, and channels are opened again on demand. */
private const val MAX_CHANNELS = 1_024
