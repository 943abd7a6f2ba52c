import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Answers of engines that have no length are reset on the way: of single requests, and of an item of a batch job. */
final class CaseCutAnswer {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int EVENTS = 24;
    private static final String WHOLE = "first half, second half";

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseCutAnswer::isBroken);
    }

    private static boolean isBroken(Scene scene) throws Exception {
        configure(scene);
        for (int i = 1; i <= 2; i++) {
            Wire.Server plain = new Wire.Server("127.0.0.1", (request, connection) -> answer(scene, request, connection));
            scene.register("shop-" + i, "shop-app", plain.address(), null, 0, 1);
            startEngine(scene, "lm-" + i);
        }
        Scene.Entry entry = scene.startEntry("entry-1");
        boolean broken = false;
        for (int i = 1; i <= 5; i++) {
            String id = "order" + i;
            Wire.Message answer = scene.request(entry, id, "/order/7c", "key-a", "x".getBytes(), 3000);
            scene.note("the consumer of " + id + " gets " + Scene.describe(answer) + " '"
                + (answer == null ? "" : answer.text()) + "'");
            broken |= answer != null && answer.status() == 200 && !answer.text().equals(WHOLE);
        }
        return readItems(scene, entry) || broken;
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
    private static void answer(Scene scene, Wire.Message request, Wire.Connection connection) throws Exception {
        String id = request.header("mulberrypin-request-id");
        Map<String, String> head = Map.of("Mulberrypin-Request-Id", id, "Mulberrypin-Response-Seal", "seal-" + id);
        if (!id.startsWith("order")) {
            connection.respond(200, head, "scored".getBytes());
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Response-Seal: seal-" + id
            + "\r\nConnection: close\r\n\r\n");
        connection.write("first half");
        Thread.sleep(100);
        if (scene.trouble) {
            scene.note("the engine resets the channel of " + id + " after 'first half'");
            connection.reset();
        } else {
            connection.write(", second half");
            connection.open = false;
        }
    }

    /** A model engine whose streams end with their channel; the first one is reset after ten events. */
    private static void startEngine(Scene scene, String name) throws Exception {
        Wire.Server engine = new Wire.Server("127.0.0.1", (request, connection) -> stream(scene, name, request, connection));
        scene.register(name, "sorter-lm", engine.address(), "m0", 1, 1);
    }

    private static final AtomicBoolean isReset = new AtomicBoolean();

    private static void stream(Scene scene, String name, Wire.Message request, Wire.Connection connection)
        throws Exception {
        if (request.path().startsWith("/mulberrypin/")) {
            connection.respond(404, Map.of(), new byte[0]);
            return;
        }
        String id = request.header("mulberrypin-request-id");
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        scene.note("engine " + name + " runs " + id + " from event " + from);
        connection.write("HTTP/1.1 200 OK\r\nMulberrypin-Request-Id: " + id
            + "\r\nMulberrypin-Response-Seal: seal-" + id + "\r\nMulberrypin-Weight-Versions: 1"
            + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = from; event <= EVENTS; event++) {
            Thread.sleep(20);
            connection.write("id: " + event + "\ndata: part " + event + "\n\n");
            if (scene.trouble && event == 10 && isReset.compareAndSet(false, true)) {
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
        for (int i = 1; i <= 2; i++) {
            items.add(Scene.item("item" + i, "/notes/" + i, "m0", "group", Scene.reward("reward" + i, "/order/5e")));
        }
        Wire.Message accepted = scene.submit(entry, JOB, "/notes/2f", "key-a", Json.of(
            "step", 1, "model", "m0", "minVersion", 1, "targetCount", 1, "items", items
        ));
        scene.note("the batch job is answered " + Scene.describe(accepted));
        Scene.pause(6000);
        boolean broken = false;
        for (Object element : (List<?>) scene.results(entry, JOB, 0, "key-a").get("results")) {
            Map<?, ?> result = (Map<?, ?>) element;
            int events = ((String) result.get("text")).split("\n").length;
            scene.note("result " + result.get("id") + " is " + result.get("state") + " with " + events + " events");
            broken |= result.get("state").equals("completed") && events < EVENTS;
        }
        return broken;
    }
}
