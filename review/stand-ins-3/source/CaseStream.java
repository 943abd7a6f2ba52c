import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** ORDER: an engine stops in the middle of an event, and the consumer gets the beginning as a whole stream. */
final class CaseStream {
    private static final int EVENTS = 6;
    private static final int CONSUMERS = 10;

    /** Doses of garble in the site file: a share of 0.35 of the engines, 0.02 of their answers, for 5.5 s. */
    private static final int ENGINES = 3;
    private static final String FAULTY = "engine-1";
    private static final int ONE_ANSWER_OF = 50;
    private static final long TRAFFIC_MILLISECONDS = 5_400;

    private static final AtomicInteger faultyRuns = new AtomicInteger();
    private static final AtomicInteger stops = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();

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
        for (int number = 1; number <= ENGINES; number++) startEngine(scene, "engine-" + number, hasTrouble);
        Entry entry = scene.start("front-zone-a-1", "zone-a");
        entry.awaitReady();
        Thread.sleep(3_500);
        long end = scene.record.milliseconds() + TRAFFIC_MILLISECONDS;
        AtomicInteger number = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        for (int consumer = 0; consumer < CONSUMERS; consumer++) {
            Thread thread = new Thread(() -> {
                while (scene.record.milliseconds() < end) consume(scene, entry, number.incrementAndGet());
            });
            consumers.add(thread);
            thread.start();
        }
        for (Thread thread : consumers) thread.join();
        scene.record.add("whole=" + whole + " ended within an event=" + broken + "; " + FAULTY + " stopped " + stops
            + " of " + faultyRuns + " answers, the other engines none");
        if (hasTrouble && stops.get() == 0) throw new IllegalStateException(FAULTY + " has given too few answers");
        if (stops.get() * ONE_ANSWER_OF > faultyRuns.get()) throw new IllegalStateException("more stops than allowed");
        if (whole.get() < ONE_ANSWER_OF) throw new IllegalStateException("too few whole streams");
        return broken.get() == 0;
    }

    private static void consume(Scene scene, Entry entry, int number) {
        String id = "stream-" + number;
        Http.Message answer = scene.request(entry, id, "POST", "/texts/" + number, "key-1", "a");
        if (answer == null || answer.status() != 200) return;
        if (answer.text().equals(events(id, EVENTS))) {
            whole.incrementAndGet();
            return;
        }
        broken.incrementAndGet();
        scene.record.add("ORDER id=" + id + ": a 200 that is complete by its framing (Content-Length "
            + answer.header("Content-Length") + ") ends within an event: ..." + ending(answer.text()));
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

    /** All answers have no length and end with their channels. In trouble one engine stops one of fifty. */
    private static void startEngine(Scene scene, String name, boolean hasTrouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Http.Server server = new Http.Server("127.0.0.1", 0, (request, connection) -> {
            String id = request.header("Mulberrypin-Request-Id");
            String expected = request.header("Mulberrypin-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(name)) {
                connection.answer(421, "Mulberrypin-Request-Id: " + id + "\r\n", new byte[0]);
                return;
            }
            int run = runs.incrementAndGet();
            if (name.equals(FAULTY)) faultyRuns.incrementAndGet();
            boolean isStopped = hasTrouble && name.equals(FAULTY) && run % ONE_ANSWER_OF == 0;
            if (isStopped) stops.incrementAndGet();
            scene.record.add("run at " + name + " id=" + id + (isStopped ? ", stops within event " + EVENTS : ""));
            connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Response-Seal: seal-"
                + name + "-" + run + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            String text = events(id, EVENTS);
            int half = text.length() / 2;
            connection.write(text.substring(0, half));
            Thread.sleep(20);
            connection.write(text.substring(half, isStopped ? text.length() - id.length() - 8 : text.length()));
            connection.socket.close();
        });
        scene.store.put("servers", name, "{\"service\":\"engines\",\"address\":" + Json.quote(server.address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            + "\"born\":" + System.currentTimeMillis() + "}");
    }
}
