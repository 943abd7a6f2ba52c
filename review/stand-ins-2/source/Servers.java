import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server of the platform: a plain service, or an engine of one model that streams events. */
final class Servers {
    private Servers() {}

    /** One backend server with its entry in the store. */
    static final class Backend {
        final Store store;
        final Record record;
        final String id;
        final String service;
        final String model;
        final Http.Server server;
        final long born = System.currentTimeMillis();
        final AtomicInteger running = new AtomicInteger();
        final AtomicLong version = new AtomicLong(1);
        final AtomicLong orders = new AtomicLong();
        final int slots;
        volatile long workMs;
        /** Number of events of a text, by the request's identifier. */
        volatile java.util.function.ToIntFunction<String> length = requestId -> 24;
        volatile boolean leaving;
        volatile String advertised;

        Backend(Store store, Record record, String ip, String id, String service, String model, int slots, long workMs)
            throws IOException {
            this.store = store;
            this.record = record;
            this.id = id;
            this.service = service;
            this.model = model;
            this.slots = slots;
            this.workMs = workMs;
            server = new Http.Server(ip, 0, this::serve);
            advertised = server.address();
        }

        void register() {
            Map<String, Object> entry = Json.of(
                "service", service, "address", advertised, "zone", "zone-a", "version", "1", "slots", slots,
                "state", "ready", "coldLeftMs", 0, "sequence", 1, "born", born);
            if (model != null) {
                entry.put("stage", "hybrid");
                entry.put("models", List.of(Json.of("name", model, "version", version.get(), "adapters", List.of())));
            }
            store.put("servers", id, entry);
        }

        private String headers(String requestId) {
            return "Mulberrypin-Request-Id: " + requestId + "\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
        }

        private boolean serve(Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
            String requestId = request.header("mulberrypin-request-id");
            String expected = request.header("mulberrypin-expect-instance");
            if (requestId == null) {
                Http.respond(out, 400, "Mulberrypin-Not-Run: 1\r\n", "");
            } else if (expected != null && !expected.equals(id)) {
                Http.respond(out, 421, "Mulberrypin-Request-Id: " + requestId + "\r\nMulberrypin-Not-Run: 1\r\n", "");
            } else if (request.path().equals("/mulberrypin/report")) {
                Http.respond(out, 200, headers(requestId) + "Content-Type: application/json\r\n", Json.write(Json.of(
                    "stage", "hybrid", "busy", false, "sequence", orders.get(), "queueDepth", 0,
                    "running", running.get(), "kvUsed", 0, "kvTotal", 90_000, "handles", 0, "born", born,
                    "models", List.of(Json.of("name", model + "", "version", version.get(), "adapters", List.of())))));
            } else if (request.path().equals("/mulberrypin/order")) {
                order(request, requestId, out);
            } else if (running.incrementAndGet() > slots) {
                running.decrementAndGet();
                Http.respond(out, 503, headers(requestId) + load() + "Mulberrypin-Not-Run: 1\r\n", "");
            } else {
                try {
                    return run(request, requestId, socket, out);
                } finally {
                    running.decrementAndGet();
                }
            }
            return true;
        }

        private String load() {
            return "Mulberrypin-Server-Load: " + running.get() + ",0," + slots + "\r\n";
        }

        private void order(Http.Message request, String requestId, OutputStream out) throws IOException {
            Map<String, Object> order = Json.object(request.text());
            record.add("order", "engine", id, "holder", order.get("holder"), "token", order.get("fencingToken"),
                "version", order.get("version"));
            Object sequence = order.get("expectedRev");
            if (sequence != null && (Long) sequence != orders.get()) {
                Http.respond(out, 409, headers(requestId), "");
                return;
            }
            orders.incrementAndGet();
            version.set((Long) order.get("version"));
            register();
            Http.respond(out, 202, headers(requestId), "");
        }

        private boolean run(Http.Message request, String requestId, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
            record.add("run", "server", id, "request", requestId, "path", request.path(),
                "tenant", request.header("mulberrypin-tenant"), "lastEvent", request.header("last-event-id"));
            return model == null ? answer(requestId, socket, out) : stream(request, requestId, socket, out);
        }

        /** Waits; returns false if the caller has closed the connection meanwhile. */
        private boolean work(long milliseconds, Socket socket) throws IOException {
            long end = System.currentTimeMillis() + milliseconds;
            InputStream in = socket.getInputStream();
            for (long left = milliseconds; left > 0; left = end - System.currentTimeMillis()) {
                socket.setSoTimeout((int) left);
                try {
                    if (in.read() < 0) return false;
                } catch (SocketTimeoutException elapsed) {
                    break;
                }
            }
            socket.setSoTimeout(0);
            return true;
        }

        private boolean answer(String requestId, Socket socket, OutputStream out) throws IOException {
            if (!work(workMs, socket)) {
                record.add("dropped", "server", id, "request", requestId);
                return false;
            }
            record.add("ran", "server", id, "request", requestId);
            Http.respond(out, 200, headers(requestId) + load() + "Mulberrypin-Response-Seal: seal-" + requestId + "-" + id
                + "\r\n", "answer to " + requestId);
            return true;
        }

        private boolean stream(Http.Message request, String requestId, Socket socket, OutputStream out)
            throws IOException {
            String last = request.header("last-event-id");
            out.write(("HTTP/1.1 200 OK\r\n" + headers(requestId) + load() + "Mulberrypin-Weight-Versions: "
                + version.get() + "\r\nMulberrypin-Response-Seal: seal-" + requestId
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= length.applyAsInt(requestId); event++) {
                if (!work(workMs, socket)) {
                    record.add("dropped", "server", id, "request", requestId, "event", event);
                    return false;
                }
                String text = "id: " + event + "\ndata: " + requestId + "." + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            record.add("ran", "server", id, "request", requestId);
            return true;
        }
    }
}
