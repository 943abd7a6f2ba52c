/** Calls other entry instances over gRPC. One connection serves all calls to a peer; nothing is retried here. */
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

/** Creates a client that calls peers over gRPC. */
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

private fun <Request : Any, Answer : Any> peerCall(
    channels: ConcurrentHashMap<String, Channel>,
    method: MethodDescriptor<Request, Answer>,
): PeerCall<Request, Answer> =
    { address, timeoutMilliseconds, request, onOutcome ->
        if (channels.size > CHANNELS_AT_MOST) channels.clear()
        val channel = channels.computeIfAbsent(address, ::newChannel)
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMilliseconds, TimeUnit.MILLISECONDS)
        val observer = OutcomeObserver(method.bareMethodName.orEmpty(), address, onOutcome)
        ClientCalls.asyncUnaryCall(channel.newCall(method, options), request, observer)
    }

private fun newChannel(address: String): Channel =
    GrpcClients
        .builder("gproto+h2c://$address/")
        .clientStubFactory(ChannelFactory)
        .responseTimeoutMillis(0)
        .build(PeerChannel::class.java)
        .channel

/** The channel that the gRPC library opens, so that calls can be made by method descriptor. */
private class PeerChannel(
    val channel: Channel,
)

private object ChannelFactory : GrpcClientStubFactory {
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

private class OutcomeObserver<Answer : Any>(
    private val step: String,
    private val peer: String,
    private val onOutcome: (Outcome<Answer>) -> Unit,
) : StreamObserver<Answer> {
    override fun onNext(answer: Answer) = onOutcome(Outcome.Success(answer))

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

/** Channels kept open at most; beyond that all are forgotten and opened again as needed. */
private const val CHANNELS_AT_MOST = 1_024
