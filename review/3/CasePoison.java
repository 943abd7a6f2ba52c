import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * A request crashes each engine that begins to run it, and comes again at both instances. Then an item of a batch job
 * does the same to model engines.
 */
final class CasePoison {
    private static final int CONTACT_MILLISECONDS = 3000;
    private static final int ALLOWED_LATER = 3;
    private static final int DOWN_MILLISECONDS = 2000;
    private static final int ENGINES = 6;
    private static final int ATTEMPTS = 14;
    private static final int ITEM_MILLISECONDS = 25_000;
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final List<Long> reachedByRequest = Collections.synchronizedList(new ArrayList<>());
    private static final List<Long> reachedByItem = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        Scene.play(arguments, CasePoison::isBroken);
    }

    private static boolean isBroken(Scene scene) throws Exception {
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
        for (int i = 1; i <= ENGINES; i++) {
            startEngine(scene, "shop-" + i, "shop-app", null, reachedByRequest);
            startEngine(scene, "lm-" + i, "sorter-lm", "m0", reachedByItem);
        }
        Scene.Entry first = scene.startEntry("entry-1");
        Scene.Entry second = scene.startEntry("entry-2");
        for (int i = 1; i <= ATTEMPTS; i++) {
            String id = String.format("%016x", 0xabc0 + i);
            Wire.Message answer = scene.request(
                i % 2 == 0 ? first : second, id, "/order/7c", "key-a", "the same body".getBytes(), 3000
            );
            scene.note("the consumer of " + id + " gets " + Scene.describe(answer));
            Scene.pause(2000);
        }
        Wire.Message accepted = scene.submit(first, JOB, "/notes/2f", "key-a", Json.of(
            "step", 1, "model", "m0", "minVersion", 1, "targetCount", 1,
            "items", List.of(Scene.item("e5b2907c14da6f38", "/notes/1", "m0", "group", null))
        ));
        scene.note("the batch job with one item is answered " + Scene.describe(accepted));
        Scene.pause(ITEM_MILLISECONDS);
        if (!scene.trouble) return false;
        boolean isRequestOver = isOver(scene, "request", reachedByRequest);
        return isOver(scene, "item", reachedByItem) || isRequestOver;
    }

    private static boolean isOver(Scene scene, String kind, List<Long> reached) {
        if (reached.size() < 3) throw new IllegalStateException("the " + kind + " crashed fewer than three engines");
        long from = reached.get(2) + CONTACT_MILLISECONDS;
        long later = List.copyOf(reached).stream().filter(it -> it > from).count();
        scene.note("sends of the " + kind + " that reached an engine later than contactMs after its third crash: " + later
            + ", allowed are " + ALLOWED_LATER);
        return later > ALLOWED_LATER;
    }

    private static void startEngine(Scene scene, String id, String service, String model, List<Long> reached)
        throws Exception {
        Wire.Server[] self = new Wire.Server[1];
        self[0] = new Wire.Server("127.0.0.1", (request, connection) -> {
            if (request.path().startsWith("/mulberrypin/")) {
                connection.respond(404, Map.of(), new byte[0]);
                return;
            }
            String requestId = request.header("mulberrypin-request-id");
            reached.add(scene.milliseconds());
            scene.note("engine " + id + " begins to run " + requestId + (scene.trouble ? " and crashes" : ""));
            if (scene.trouble) {
                Wire.start("restart", () -> restart(scene, id, service, model, self[0]));
                self[0].crash();
            } else if (model == null) {
                connection.respond(
                    200, Map.of("Mulberrypin-Request-Id", requestId, "Mulberrypin-Response-Seal", "seal-" + requestId),
                    "whole".getBytes()
                );
            } else {
                connection.respond(
                    200, Map.of("Mulberrypin-Request-Id", requestId, "Mulberrypin-Weight-Versions", "1",
                        "Content-Type", "text/event-stream"),
                    "id: 1\ndata: part 1\n\n".getBytes()
                );
            }
        });
        scene.register(id, service, self[0].address(), model, 1, 1);
    }

    /** The engine is back after two seconds as a new lifetime under its identifier. */
    private static void restart(Scene scene, String id, String service, String model, Wire.Server server) {
        try {
            Scene.pause(DOWN_MILLISECONDS);
            server.listen();
            scene.register(id, service, server.address(), model, 1, System.currentTimeMillis());
            scene.note("engine " + id + " is back");
        } catch (Exception failure) {
            scene.note("engine " + id + " could not come back: " + failure);
        }
    }
}
