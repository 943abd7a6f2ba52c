import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** A request crashes each engine that begins to run it, and comes again at both instances. */
final class CasePoison {
    private static final int CONTACT_MILLISECONDS = 3000;
    private static final int ALLOWED_LATER = 3;
    private static final int DOWN_MILLISECONDS = 2000;
    private static final int ENGINES = 6;
    private static final int ATTEMPTS = 14;
    private static final List<Long> reached = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        Scene.play(arguments, CasePoison::isBroken);
    }

    private static boolean isBroken(Scene scene) throws Exception {
        scene.configure(
            1, List.of(Scene.route("order", "idempotent", "shop-app", 3000, 2)), List.of(Json.of("name", "shop-app")),
            List.of(Scene.tenant("team-a", "key-a"))
        );
        for (int i = 1; i <= ENGINES; i++) startEngine(scene, "shop-" + i);
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
        if (!scene.trouble) return false;
        if (reached.size() < 3) throw new IllegalStateException("the request crashed fewer than three engines");
        long from = reached.get(2) + CONTACT_MILLISECONDS;
        long later = reached.stream().filter(it -> it > from).count();
        scene.note("sends that reached an engine later than contactMs after the third crash: " + later
            + ", allowed are " + ALLOWED_LATER);
        return later > ALLOWED_LATER;
    }

    private static void startEngine(Scene scene, String id) throws Exception {
        Wire.Server[] self = new Wire.Server[1];
        self[0] = new Wire.Server("127.0.0.1", (request, connection) -> {
            String requestId = request.header("mulberrypin-request-id");
            reached.add(scene.milliseconds());
            scene.note("engine " + id + " begins to run " + requestId + (scene.trouble ? " and crashes" : ""));
            if (scene.trouble) {
                Wire.start("restart", () -> restart(scene, id, self[0]));
                self[0].crash();
            } else {
                connection.respond(
                    200, Map.of("Mulberrypin-Request-Id", requestId, "Mulberrypin-Response-Seal", "seal-" + requestId),
                    "whole".getBytes()
                );
            }
        });
        scene.register(id, "shop-app", self[0].address(), null, 0, 1);
    }

    /** The engine is back after two seconds as a new lifetime under its identifier. */
    private static void restart(Scene scene, String id, Wire.Server server) {
        try {
            Scene.pause(DOWN_MILLISECONDS);
            server.listen();
            scene.register(id, "shop-app", server.address(), null, 0, System.currentTimeMillis());
            scene.note("engine " + id + " is back");
        } catch (Exception failure) {
            scene.note("engine " + id + " could not come back: " + failure);
        }
    }
}
