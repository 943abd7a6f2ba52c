import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers of engines have no length, and one of two engines of each service resets one of them on the way: to a single
 * request, and to an item of a batch job.
 */
final class CaseCutAnswer {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int EVENTS = 24;
    private static final String WHOLE = "first half, second half";
    private static final int ORDERS = 160;
    private static final int ITEMS = 200;
    private static final int CUT_ANSWER = 10;
    private static final double LARGEST_DOSE = 0.02;
    private static final AtomicInteger serviceAnswers = new AtomicInteger();
    private static final AtomicInteger engineAnswers = new AtomicInteger();

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseCutAnswer::isBroken);
    }

    private static boolean isBroken(Scene scene) throws Exception {
        configure(scene);
        for (int i = 1; i <= 2; i++) {
            boolean isFaulty = scene.trouble && i == 2;
            Wire.Server plain = new Wire.Server(
                "127.0.0.1", (request, connection) -> answer(scene, request, connection, isFaulty)
            );
            scene.register("shop-" + i, "shop-app", plain.address(), null, 0, 1);
            startEngine(scene, "lm-" + i, isFaulty);
        }
        Scene.Entry entry = scene.startEntry("entry-1");
        boolean broken = false;
        for (int i = 1; i <= ORDERS; i++) {
            String id = "order" + i;
            Wire.Message answer = scene.request(entry, id, "/order/7c", "key-a", "x".getBytes(), 3000);
            boolean isWhole = answer != null && answer.status() == 200 && answer.text().equals(WHOLE);
            if (!isWhole) {
                scene.note("the consumer of " + id + " gets " + Scene.describe(answer) + " '"
                    + (answer == null ? "" : answer.text()) + "'");
            }
            broken |= answer != null && answer.status() == 200 && !isWhole;
        }
        broken |= readItems(scene, entry);
        if (scene.trouble) {
            scene.requireDose("answers to orders reset by shop-2", 1, serviceAnswers.get(), LARGEST_DOSE);
            scene.requireDose("streams reset by lm-2", 1, engineAnswers.get(), LARGEST_DOSE);
        }
        return broken;
    }

    private static void configure(Scene scene) {
        Map<String, Object> rollout = Scene.route("notes", "rollout", "sorter-lm", 10000, 3);
        rollout.put("queueTtlS", 60);
        rollout.put("resultTargetMs", 7500);
        scene.configure(
            1, List.of(rollout, Scene.route("order", "idempotent", "shop-app", 3000, 2)),
            List.of(
                Json.of("name", "shop-app"),
                Json.of("name", "sorter-lm", "engine", Json.of("slots", 8, "models", List.of(Json.of("name", "m0"))))
            ),
            List.of(Scene.tenant("team-a", "key-a"))
        );
    }

    /** A plain service: the answers to orders have no length, those to reward calls have one. */
    private static void answer(Scene scene, Wire.Message request, Wire.Connection connection, boolean isFaulty)
        throws Exception {
        String id = request.header("mulberrypin-request-id");
        Map<String, String> head = Map.of("Mulberrypin-Request-Id", id, "Mulberrypin-Response-Seal", "seal-" + id);
        if (!id.startsWith("order")) {
            connection.respond(200, head, "scored".getBytes());
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Response-Seal: seal-" + id
            + "\r\nConnection: close\r\n\r\n");
        connection.write("first half");
        Thread.sleep(10);
        if (isFaulty && serviceAnswers.incrementAndGet() == CUT_ANSWER) {
            Thread.sleep(100);
            scene.note("server shop-2 resets the channel of " + id + " after 'first half'");
            connection.reset();
        } else {
            connection.write(", second half");
            connection.open = false;
        }
    }

    /** A model engine whose streams end with their channel; a faulty one resets one of them after ten events. */
    private static void startEngine(Scene scene, String name, boolean isFaulty) throws Exception {
        Wire.Server engine = new Wire.Server(
            "127.0.0.1", (request, connection) -> stream(scene, name, request, connection, isFaulty)
        );
        scene.register(name, "sorter-lm", engine.address(), "m0", 1, 1);
    }

    private static void stream(
        Scene scene, String name, Wire.Message request, Wire.Connection connection, boolean isFaulty
    ) throws Exception {
        if (request.path().startsWith("/mulberrypin/")) {
            connection.respond(404, Map.of(), new byte[0]);
            return;
        }
        String id = request.header("mulberrypin-request-id");
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        boolean isCut = isFaulty && engineAnswers.incrementAndGet() == CUT_ANSWER;
        connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id
            + "\r\nMulberrypin-Response-Seal: seal-" + id + "\r\nMulberrypin-Weight-Versions: 1"
            + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = from; event <= EVENTS; event++) {
            Thread.sleep(10);
            connection.write("id: " + event + "\ndata: part " + event + "\n\n");
            if (isCut && event == 10) {
                Thread.sleep(20);
                scene.note("engine " + name + " resets the stream of " + id + " after event 10 of " + EVENTS);
                connection.reset();
                return;
            }
        }
        connection.open = false;
    }

    private static boolean readItems(Scene scene, Scene.Entry entry) throws Exception {
        List<Object> items = new ArrayList<>();
        for (int i = 1; i <= ITEMS; i++) {
            items.add(Scene.item("item" + i, "/notes/" + i, "m0", "group" + i, Scene.reward("reward" + i, "/order/5e")));
        }
        Wire.Message accepted = scene.submit(entry, JOB, "/notes/2f", "key-a", Json.of(
            "step", 1, "model", "m0", "minVersion", 1, "targetCount", ITEMS, "items", items
        ));
        scene.note("the batch job is answered " + Scene.describe(accepted));
        Scene.pause(12000);
        boolean broken = false;
        List<Map<?, ?>> results = scene.allResults(entry, JOB, "key-a");
        scene.note(results.size() + " of " + ITEMS + " items are listed");
        for (Map<?, ?> result : results) {
            int events = ((String) result.get("text")).split("\n").length;
            if (events == EVENTS) continue;
            scene.note("result " + result.get("id") + " is " + result.get("state") + " with " + events + " events");
            broken |= result.get("state").equals("completed");
        }
        return broken;
    }
}
