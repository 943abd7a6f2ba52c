import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;

/** A model engine. It streams the events of each request, resumes after Last-Event-Id and takes weight orders. */
final class Engine {
    static final class Run {
        String id;
        String path;
        long lastEvent;
        long milliseconds;
    }

    final String name;
    final Http.Server server;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Store store;
    private final Record record;
    private final AtomicInteger seals = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private long version = 1;
    private long orders;

    /** Number of events of a text, and the time between two of them in milliseconds. */
    volatile int events = 6;
    volatile long pauseMilliseconds = 50;

    /** The data of an event, by the request's identifier and the number of the event from 1. */
    volatile BiFunction<String, Long, String> data = (id, event) -> "part " + event + " of " + id;

    Engine(Store store, String name, Record record) throws IOException {
        this.store = store;
        this.name = name;
        this.record = record;
        this.server = new Http.Server("127.0.0.1", 0, this::handle);
        register();
    }

    private String models() {
        return "[{\"name\":\"model-1\",\"version\":" + version + ",\"adapters\":[]}]";
    }

    private void register() {
        store.put("servers", name, "{\"service\":\"engines\",\"address\":" + Json.quote(server.address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"hybrid\","
            + "\"models\":" + models() + ",\"sequence\":1,\"born\":" + born + "}");
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String id = request.header("Mulberrypin-Request-Id");
        String named = id.isEmpty() ? "" : "Mulberrypin-Request-Id: " + id + "\r\n";
        String expected = request.header("Mulberrypin-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(name)) {
            connection.answer(421, named + "Mulberrypin-Instance-Id: " + name + "\r\n", new byte[0]);
        } else if (request.path().equals("/mulberrypin/report")) {
            String text = "{\"stage\":\"hybrid\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + orders
                + ",\"queueDepth\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"born\":" + born + "}";
            connection.answer(200, named + "Content-Type: application/json\r\n", text.getBytes());
        } else if (request.path().equals("/mulberrypin/order")) {
            connection.answer(order(Json.object(request.text())), named, new byte[0]);
        } else {
            stream(request, connection, id, named);
        }
    }

    private synchronized int order(Map<String, Object> order) {
        Object expected = order.get("expectedRev");
        if (expected != null && (Long) expected != orders) return 409;
        if ((Long) order.get("version") <= version) return 200;
        orders++;
        version = (Long) order.get("version");
        register();
        return 202;
    }

    private void stream(Http.Message request, Http.Connection connection, String id, String named) throws Exception {
        String last = request.header("Last-Event-Id");
        Run run = new Run();
        run.id = id;
        run.path = request.target();
        run.lastEvent = last.isEmpty() ? 0 : Long.parseLong(last);
        run.milliseconds = record.milliseconds();
        runs.add(run);
        record.add("run at " + name + " id=" + id + " path=" + request.target() + " tenant="
            + request.header("Mulberrypin-Tenant") + " last-event=" + run.lastEvent);
        connection.write("HTTP/1.1 200 OK\r\n" + named + "Mulberrypin-Response-Seal: seal-" + name + "-"
            + seals.incrementAndGet() + "\r\nMulberrypin-Weight-Versions: " + version
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (long event = run.lastEvent + 1; event <= events; event++) {
            Thread.sleep(pauseMilliseconds);
            chunk(connection, "id: " + event + "\ndata: " + data.apply(id, event) + "\n\n");
        }
        connection.write("0\r\n\r\n");
    }

    private static void chunk(Http.Connection connection, String text) throws IOException {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        connection.write(Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }
}
