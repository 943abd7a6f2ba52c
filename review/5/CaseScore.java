import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reward calls are answered with failures other than 500. */
final class CaseScore {
    private static final String JOB = "7c41e09b52d6a3f8";

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
        for (int i = 1; i <= 3; i++) startService(scene, "shop-" + i);
        for (int i = 1; i <= 2; i++) {
            new Engine(scene, "lm-" + i, "sorter-lm", "m0", 12, 20, (item, event) -> "part " + event);
        }
        Scene.Entry entry = scene.startEntry("entry-1");
        List<Object> items = new ArrayList<>();
        for (String status : new String[] {"200", "404", "413", "422", "429"}) {
            items.add(Scene.item(
                "item-" + status, "/notes/" + status, "m0", "group", Scene.reward("reward-" + status, "/score/5e")
            ));
        }
        Wire.Message accepted = scene.submit(entry, JOB, "/notes/2f", "key-a", Json.of(
            "step", 1, "model", "m0", "minVersion", 1, "targetCount", 1, "items", items
        ));
        scene.note("the batch job is answered " + Scene.describe(accepted));
        Scene.pause(8000);
        boolean broken = false;
        for (Object element : (List<?>) scene.results(entry, JOB, 0, "key-a").get("results")) {
            Map<?, ?> result = (Map<?, ?>) element;
            Object score = result.get("score");
            scene.note("result " + result.get("id") + " is " + result.get("state") + " with score " + score);
            boolean isProof = score != null && ((String) score).startsWith("proof-of-200");
            broken |= result.get("state").equals("completed") && !isProof;
        }
        return broken;
    }

    /** Answers a reward call with the status that the end of its identifier names. */
    private static void startService(Scene scene, String server) throws Exception {
        Wire.Server plain = new Wire.Server("127.0.0.1", (request, connection) -> {
            String id = request.header("mulberrypin-request-id");
            int status = scene.trouble ? Integer.parseInt(id.substring(id.length() - 3)) : 200;
            scene.note("server " + server + " answers " + id + " with " + status);
            connection.respond(
                status, Map.of("Mulberrypin-Request-Id", id, "Mulberrypin-Response-Seal", "proof-of-" + status + "-" + id),
                "body".getBytes()
            );
        });
        scene.register(server, "shop-app", plain.address(), null, 0, 1);
    }
}
