import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** A server of a plain service. It answers each request with a proof, and crashes under those that crash it. */
final class Service {
    static final class Run {
        String id;
        String path;
        long milliseconds;
    }

    final String name;
    final Http.Server server;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Store store;
    private final String service;
    private final Record record;
    private final Predicate<Http.Message> crashes;
    private final AtomicInteger seals = new AtomicInteger();
    private volatile long born = System.currentTimeMillis();

    /** How long the server is away after a crash, in milliseconds. */
    private static final long AWAY_MILLISECONDS = 1_500;

    /** How long a request runs, in milliseconds. */
    volatile long workMilliseconds = 5;

    Service(Store store, String name, String service, Record record, Predicate<Http.Message> crashes)
        throws IOException {
        this.store = store;
        this.name = name;
        this.service = service;
        this.record = record;
        this.crashes = crashes;
        this.server = new Http.Server("127.0.0.1", 0, this::handle);
        register();
    }

    private void register() {
        store.put("servers", name, "{\"service\":" + Json.quote(service) + ",\"address\":" + Json.quote(server.address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            + "\"born\":" + born + "}");
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String id = request.header("Mulberrypin-Request-Id");
        String named = id.isEmpty() ? "" : "Mulberrypin-Request-Id: " + id + "\r\n";
        String expected = request.header("Mulberrypin-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(name)) {
            connection.answer(421, named + "Mulberrypin-Instance-Id: " + name + "\r\n", new byte[0]);
            return;
        }
        Run run = new Run();
        run.id = id;
        run.path = request.target();
        run.milliseconds = record.milliseconds();
        runs.add(run);
        record.add("run at " + name + " id=" + id + " path=" + request.target() + " tenant="
            + request.header("Mulberrypin-Tenant") + " bytes=" + request.body.length);
        if (crashes.test(request)) {
            crash();
            return;
        }
        Thread.sleep(workMilliseconds);
        byte[] body = ("answer of " + name + " to " + id + "\n").getBytes(StandardCharsets.UTF_8);
        String seal = "Mulberrypin-Response-Seal: seal-" + name + "-" + seals.incrementAndGet() + "\r\n";
        connection.answer(200, named + seal, body);
    }

    private void crash() {
        record.add("crash of " + name);
        server.crash();
        Thread back = new Thread(() -> {
            try {
                Thread.sleep(AWAY_MILLISECONDS);
                born = System.currentTimeMillis();
                server.restart();
                register();
                record.add("start of " + name);
            } catch (IOException | InterruptedException failed) {
                record.add(name + " did not start: " + failed);
            }
        }, "restart");
        back.setDaemon(true);
        back.start();
    }
}
