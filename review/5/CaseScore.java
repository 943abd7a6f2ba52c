import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One of seven servers of a service that scores answers two in five reward calls with failures other than 500. */
final class CaseScore {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int SERVERS = 7;
    private static final int ITEMS = 120;
    private static final double LARGEST_DOSE = 0.4;
    private static final int[] STATUSES = {404, 413, 422, 429};
    private static final AtomicInteger calls = new AtomicInteger();
    private static final AtomicInteger failures = new AtomicInteger();

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseScore::isBroken);
    }

    private static boolean isBroken(Scene scene) throws Exception {
        Map<String, Object> rollout = Scene.route("notes", "rollout", "sorter-lm", 10000, 3);
        rollout.put("queueTtlS", 60);
        rollout.put("resultTargetMs", 7500);
        scene.configure(
            1, List.of(rollout, Scene.route("score", "idempotent", "shop-app", 3000, 4)),
            List.of(
                Json.of("name", "shop-app"),
                Json.of("name", "sorter-lm", "engine", Json.of("slots", 8, "models", List.of(Json.of("name", "m0"))))
            ),
            List.of(Scene.tenant("team-a", "key-a"))
        );
        for (int i = 1; i <= SERVERS; i++) startService(scene, "shop-" + i, scene.trouble && i == SERVERS);
        for (int i = 1; i <= 2; i++) {
            new Engine(scene, "lm-" + i, "sorter-lm", "m0", 12, 10, (item, event) -> "part " + event);
        }
        Scene.Entry entry = scene.startEntry("entry-1");
        List<Object> items = new ArrayList<>();
        for (int i = 1; i <= ITEMS; i++) {
            items.add(Scene.item("item" + i, "/notes/" + i, "m0", "group" + i, Scene.reward("reward" + i, "/score/5e")));
        }
        Wire.Message accepted = scene.submit(entry, JOB, "/notes/2f", "key-a", Json.of(
            "step", 1, "model", "m0", "minVersion", 1, "targetCount", ITEMS, "items", items
        ));
        scene.note("the batch job is answered " + Scene.describe(accepted));
        Scene.pause(10000);
        boolean broken = false;
        List<Map<?, ?>> results = scene.allResults(entry, JOB, "key-a");
        scene.note(results.size() + " of " + ITEMS + " items are listed");
        for (Map<?, ?> result : results) {
            Object score = result.get("score");
            boolean isProof = score != null && ((String) score).startsWith("proof-of-200");
            if (isProof) continue;
            scene.note("result " + result.get("id") + " is " + result.get("state") + " with score " + score);
            broken |= result.get("state").equals("completed");
        }
        if (scene.trouble) scene.requireDose("failures of shop-7", failures.get(), calls.get(), LARGEST_DOSE);
        return broken;
    }

    private static void startService(Scene scene, String server, boolean isFaulty) throws Exception {
        Wire.Server plain = new Wire.Server("127.0.0.1", (request, connection) -> {
            String id = request.header("mulberrypin-request-id");
            boolean fails = isFaulty && calls.incrementAndGet() % 5 % 4 == 0;
            int status = fails ? STATUSES[failures.getAndIncrement() % STATUSES.length] : 200;
            if (fails) scene.note("server " + server + " answers " + id + " with " + status);
            connection.respond(
                status, Map.of("Mulberrypin-Request-Id", id, "Mulberrypin-Response-Seal", "proof-of-" + status + "-" + id),
                "body".getBytes()
            );
        });
        scene.register(server, "shop-app", plain.address(), null, 0, 1);
    }
}
