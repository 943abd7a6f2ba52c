import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** GONE: consumers close their channels, and the servers' work for them goes on, or begins anew, long after that. */
final class CaseGone {
    /** Consumers, of whom one begins every 150 ms; give_up holds for 6 s, for two of five, within 900 ms. */
    private static final int CONSUMERS = 80;
    private static final int FIRST_LEAVING = 20;
    private static final int LAST_LEAVING = 59;
    private static final int GROUP = 5;
    private static final long GAP_MILLISECONDS = 150;

    /** Bounds of the rule: half a second, "more than a few" requests, a quarter of the requests. */
    private static final long ALLOWED_MILLISECONDS = 500;
    private static final int FEW = 3;
    private static final int QUARTER = 4;

    private static final Map<String, Long> closed = new ConcurrentHashMap<>();
    private static final Map<String, Integer> lateBegins = new ConcurrentHashMap<>();
    private static final Map<String, Long> longestWork = new ConcurrentHashMap<>();
    private static final AtomicInteger answered = new AtomicInteger();

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseGone::run);
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", "{\"version\":1,\"routes\":[{\"name\":\"checks\",\"host\":\"" + Scene.HOST
            + "\",\"prefix\":\"/checks/\",\"kind\":\"idempotent\",\"timeoutMs\":3000,\"goalMs\":800,\"priority\":2,"
            + "\"service\":\"plain\",\"maxAttempts\":4,\"public\":false}],\"services\":[{\"name\":\"plain\","
            + "\"healthPath\":\"/health\",\"maxConns\":96}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
        for (int number = 1; number <= 4; number++) startServer(scene, "plain-" + number);
        Entry entry = scene.start("front-zone-a-1", "zone-a");
        entry.awaitReady();
        Thread.sleep(3_500);
        CountDownLatch ended = new CountDownLatch(CONSUMERS);
        List<String> leaving = new ArrayList<>();
        for (int number = 0; number < CONSUMERS; number++) {
            boolean isInTime = number >= FIRST_LEAVING && number <= LAST_LEAVING;
            boolean leaves = hasTrouble && isInTime && number % GROUP < 2;
            // Of those that leave, every second one does so late and has long work, which is sent to a second server.
            boolean hasLongWork = leaves && number % GROUP == 0;
            String id = "check-" + number + "-work-" + (hasLongWork ? 2_600 : 1_300);
            if (leaves) leaving.add(id);
            long stay = !leaves ? 0 : hasLongWork ? 800 : 200;
            Thread consumer = new Thread(() -> {
                consume(scene, entry, id, stay);
                ended.countDown();
            });
            consumer.setDaemon(true);
            consumer.start();
            Thread.sleep(GAP_MILLISECONDS);
        }
        ended.await();
        Thread.sleep(3_500);
        int stillAtWork = 0;
        int begun = 0;
        for (String id : leaving) {
            long work = longestWork.getOrDefault(id, 0L);
            if (work > ALLOWED_MILLISECONDS) stillAtWork++;
            begun += lateBegins.getOrDefault(id, 0);
            scene.record.add("left id=" + id + ": servers at work until " + work + " ms after the close, "
                + lateBegins.getOrDefault(id, 0) + " begun over 500 ms after it");
        }
        scene.record.add("answered=" + answered + " left=" + leaving.size() + " still at work after 500 ms="
            + stillAtWork + " requests that reached a server over 500 ms after the close=" + begun);
        int patient = CONSUMERS - leaving.size();
        if (answered.get() < patient / 2) throw new IllegalStateException("only " + answered + " were answered");
        return begun <= FEW && stillAtWork * QUARTER <= leaving.size();
    }

    private static void consume(Scene scene, Entry entry, String id, long stay) {
        int colon = entry.front.lastIndexOf(':');
        try (Socket socket = new Socket(entry.front.substring(0, colon),
            Integer.parseInt(entry.front.substring(colon + 1)))) {
            scene.record.add("send to " + entry.name + " id=" + id);
            socket.getOutputStream().write(("POST /checks/1 HTTP/1.1\r\nHost: " + Scene.HOST
                + "\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Deadline-Ms: 3000\r\n"
                + "Authorization: Bearer key-1\r\nContent-Length: 1\r\n\r\na").getBytes());
            if (stay > 0) {
                Thread.sleep(stay);
                socket.close();
                closed.put(id, scene.record.milliseconds());
                scene.record.add("close by the consumer of id=" + id);
                return;
            }
            socket.setSoTimeout(4_000);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            scene.record.add("answer id=" + id + " " + (answer == null ? "none" : answer.status()));
            if (answer != null && answer.status() == 200) answered.incrementAndGet();
        } catch (IOException | InterruptedException failed) {
            scene.record.add("answer id=" + id + " none: " + failed);
        }
    }

    /** A server that works as long as the identifier says, and drops a request as soon as its channel closes. */
    private static void startServer(Scene scene, String name) throws IOException {
        Http.Server server = new Http.Server("127.0.0.1", 0, (request, connection) -> {
            String id = request.header("Mulberrypin-Request-Id");
            long begin = scene.record.milliseconds();
            scene.record.add("run at " + name + " id=" + id);
            Long left = closed.get(id);
            if (left != null && begin - left > ALLOWED_MILLISECONDS) lateBegins.merge(id, 1, Integer::sum);
            connection.socket.setSoTimeout(Integer.parseInt(id.substring(id.lastIndexOf('-') + 1)));
            try {
                connection.in.read();
                end(scene, name, id, "dropped");
                throw new IOException("the caller has left");
            } catch (SocketTimeoutException done) {
                end(scene, name, id, "done");
            }
            connection.socket.setSoTimeout(0);
            connection.answer(200, "Mulberrypin-Request-Id: " + id + "\r\nMulberrypin-Response-Seal: seal-" + name + "-"
                + id + "\r\n", "checked\n".getBytes());
        });
        scene.store.put("servers", name, "{\"service\":\"plain\",\"address\":" + Json.quote(server.address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,"
            + "\"born\":" + System.currentTimeMillis() + "}");
    }

    private static void end(Scene scene, String name, String id, String how) {
        scene.record.add(how + " at " + name + " id=" + id);
        Long left = closed.get(id);
        if (left != null) longestWork.merge(id, scene.record.milliseconds() - left, Math::max);
    }
}
