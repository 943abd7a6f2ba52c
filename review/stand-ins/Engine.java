import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a model engine: it tells its report, takes orders, and runs an item as a stream of events, resumed after
 * {@code Last-Event-Id}.
 */
final class Engine {
    interface Text {
        String of(String item, int event);
    }

    final String id;
    final Wire.Server server;
    final AtomicInteger runs = new AtomicInteger();
    private final Scene scene;
    private final String service;
    private final String model;
    private final int events;
    private final int pauseMilliseconds;
    private final Text text;
    private long version = 1;
    private long orders;

    Engine(Scene scene, String id, String service, String model, int events, int pauseMilliseconds, Text text)
        throws Exception {
        this.scene = scene;
        this.id = id;
        this.service = service;
        this.model = model;
        this.events = events;
        this.pauseMilliseconds = pauseMilliseconds;
        this.text = text;
        server = new Wire.Server("127.0.0.1", this::serve);
        register();
    }

    private void register() {
        scene.register(id, service, server.address(), model, version, 1);
    }

    private void serve(Wire.Message request, Wire.Connection connection) throws Exception {
        String expected = request.header("mulberrypin-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.respond(421, Map.of("Mulberrypin-Not-Run", "1"), new byte[0]);
        } else if (request.path().equals("/mulberrypin/report")) {
            report(connection);
        } else if (request.path().equals("/mulberrypin/order")) {
            order(Json.object(request.text()), connection);
        } else {
            run(request, connection);
        }
    }

    private synchronized void report(Wire.Connection connection) throws Exception {
        String body = Json.write(Json.of(
            "stage", "hybrid", "models", java.util.List.of(Json.of("name", model, "version", version)), "busy", false,
            "sequence", orders, "queueDepth", 0, "running", 0, "kvUsed", 0, "kvTotal", 90000, "handles", 0
        ));
        connection.respond(200, Map.of("Content-Type", "application/json"), body.getBytes());
    }

    private synchronized void order(Map<String, Object> order, Wire.Connection connection) throws Exception {
        if ((Long) order.get("expectedRev") != orders) {
            connection.respond(409, Map.of(), new byte[0]);
            return;
        }
        orders++;
        version = (Long) order.get("version");
        register();
        connection.respond(202, Map.of(), new byte[0]);
    }

    private void run(Wire.Message request, Wire.Connection connection) throws Exception {
        runs.incrementAndGet();
        String item = request.header("mulberrypin-request-id");
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        scene.note("engine " + id + " runs " + item + " from event " + from);
        connection.write(
            "HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + item + "\r\nMulberrypin-Response-Seal: seal-" + item
                + "\r\nMulberrypin-Weight-Versions: " + version
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for (int event = from; event <= events; event++) {
            Thread.sleep(pauseMilliseconds);
            byte[] bytes = ("id: " + event + "\ndata: " + text.of(item, event) + "\n\n").getBytes();
            connection.write(Integer.toHexString(bytes.length) + "\r\n" + new String(bytes) + "\r\n");
        }
        connection.write("0\r\n\r\n");
    }
}
