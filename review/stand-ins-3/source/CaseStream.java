import java.util.concurrent.atomic.AtomicInteger;

/** ORDER: an engine stops in the middle of an event, and the consumer gets the beginning as a whole stream. */
final class CaseStream {
    private static final int EVENTS = 6;
    private static final int REQUESTS = 8;

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseStream::run);
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"texts\",\"host\":\"" + Scene.HOST
            + "\",\"prefix\":\"/texts/\",\"kind\":\"stream\",\"resumable\":true,\"timeoutMs\":3000,\"goalMs\":150,"
            + "\"priority\":2,\"service\":\"engines\",\"maxAttempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"engines\",\"healthPath\":\"/health\",\"maxConns\":96}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", configuration());
        AtomicInteger runs = new AtomicInteger();
        for (int number = 1; number <= 2; number++) startEngine(scene, "engine-" + number, hasTrouble, runs);
        Entry entry = scene.start("front-zone-a-1", "zone-a");
        entry.awaitReady();
        Thread.sleep(3_500);
        int broken = 0;
        int whole = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "stream-" + number;
            Http.Message answer = scene.request(entry, id, "POST", "/texts/" + number, "key-1", "a");
            if (answer == null || answer.status() != 200) continue;
            String framing = answer.headers.containsKey("Content-Length")
                ? "Content-Length " + answer.header("Content-Length") : "Transfer-Encoding "
                + answer.header("Transfer-Encoding");
            if (answer.text().equals(events(id, EVENTS))) {
                whole++;
            } else {
                broken++;
                scene.record.add("ORDER id=" + id + ": a 200 that is complete by its framing (" + framing
                    + ") ends within an event: ..." + ending(answer.text()));
            }
        }
        scene.record.add("whole=" + whole + " ended within an event=" + broken + " of " + REQUESTS);
        if (runs.get() < REQUESTS) throw new IllegalStateException("the engines ran only " + runs + " requests");
        return broken == 0;
    }

    private static String ending(String text) {
        return text.substring(Math.max(0, text.length() - 20)).replace("\n", "\\n");
    }

    private static String events(String id, int last) {
        StringBuilder out = new StringBuilder();
        for (int event = 1; event <= last; event++) {
            out.append("id: ").append(event).append("\ndata: part ").append(event).append(" of ").append(id)
                .append("\n\n");
        }
        return out.toString();
    }

    /** Each answer has no length and ends with its channel. In trouble every second one stops within its last event. */
    private static void startEngine(Scene scene, String name, boolean hasTrouble, AtomicInteger runs)
        throws Exception {
        Http.Server server = new Http.Server("127.0.0.1", 0, (request, connection) -> {
            String id = request.header("Mulberrypin-Request-Id");
            String expected = request.header("Mulberrypin-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(name)) {
                connection.answer(421, "Mulberrypin-Request-Id: " + id + "\r\n", new byte[0]);
                return;
            }
            int run = runs.incrementAndGet();
            boolean stops = hasTrouble && run % 2 == 0;
            scene.record.add("run at " + name + " id=" + id + (stops ? ", stops within event " + EVENTS : ""));
            connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Response-Seal: seal-"
                + name + "-" + run + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            String text = events(id, EVENTS);
            int half = text.length() / 2;
            connection.write(text.substring(0, half));
            Thread.sleep(100);
            connection.write(text.substring(half, stops ? text.length() - id.length() - 8 : text.length()));
            connection.socket.close();
        });
        scene.store.put("servers", name, "{\"service\":\"engines\",\"address\":" + Json.quote(server.address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            + "\"born\":" + System.currentTimeMillis() + "}");
    }
}
