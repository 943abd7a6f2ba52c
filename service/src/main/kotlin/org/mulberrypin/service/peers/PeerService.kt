/** The gRPC service for peers. Handlers only offer to rings; the response is sent when the outcome is available. */
package org.mulberrypin.service.peers

import com.linecorp.armeria.server.grpc.GrpcService
import io.grpc.MethodDescriptor
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import org.mulberrypin.runtime.Fault
import org.mulberrypin.runtime.FaultKind
import org.mulberrypin.runtime.Outcome
import org.mulberrypin.service.generated.PeerMethods

/** Creates the gRPC service that passes requests of peers to [handlers]. */
internal fun peerService(handlers: PeerHandlers): GrpcService =
    GrpcService
        .builder()
        .addService(
            ServerServiceDefinition
                .builder(PeerMethods.SERVICE)
                .handle(PeerMethods.announce, handlers.announce)
                .handle(PeerMethods.runGroup, handlers.runGroup)
                .handle(PeerMethods.nextBatch, handlers.nextBatch)
                .handle(PeerMethods.explain, handlers.explain)
                .handle(PeerMethods.reportCrash, handlers.reportCrash)
                .handle(PeerMethods.copyUsage, handlers.copyUsage)
                .handle(PeerMethods.countEvents, handlers.countEvents)
                .build(),
        ).build()

private fun <Request : Any, Response : Any> ServerServiceDefinition.Builder.handle(
    method: MethodDescriptor<Request, Response>,
    handler: PeerHandler<Request, Response>,
): ServerServiceDefinition.Builder =
    addMethod(
        method,
        ServerCalls.asyncUnaryCall { request: Request, observer: StreamObserver<Response> ->
            handler(request) { outcome -> sendOutcome(observer, outcome) }
        },
    )

private fun <Response : Any> sendOutcome(
    observer: StreamObserver<Response>,
    outcome: Outcome<Response>,
) {
    when (outcome) {
        is Outcome.Success -> {
            observer.onNext(outcome.value)
            observer.onCompleted()
        }

        is Outcome.Failure -> {
            observer.onError(statusOf(outcome.fault).asRuntimeException())
        }
    }
}

private fun statusOf(fault: Fault): Status =
    when (fault.kind) {
        FaultKind.REFUSED -> Status.FAILED_PRECONDITION
        FaultKind.CONFLICT -> Status.ABORTED
        FaultKind.NOT_RUN -> Status.RESOURCE_EXHAUSTED
        FaultKind.UNKNOWN, FaultKind.CONNECTION_LOST -> Status.UNKNOWN
    }.withDescription(fault.toString())
