/** MIXED: a new route covers the path /metrics, which the callers' port answers by itself. */
final class CaseMetrics {
    public static void main(String[] arguments) {
        Scene.play(arguments, CaseMetrics::run);
    }

    private static String configuration(int version, boolean hasWholeHost) {
        String limits = "\"timeoutMs\":3000,\"goalMs\":150,\"priority\":2,\"service\":\"plain\",\"maxAttempts\":2,"
            + "\"public\":false}";
        String orders = "{\"name\":\"orders\",\"host\":\"" + Scene.HOST
            + "\",\"prefix\":\"/orders/\",\"kind\":\"idempotent\"," + limits;
        String whole = "{\"name\":\"whole-host\",\"host\":\"" + Scene.HOST
            + "\",\"prefix\":\"/\",\"kind\":\"idempotent\"," + limits;
        return "{\"version\":" + version + ",\"routes\":[" + orders + (hasWholeHost ? "," + whole : "")
            + "],\"services\":[{\"name\":\"plain\",\"healthPath\":\"/health\",\"maxConns\":96}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", configuration(1, false));
        new Service(scene.store, "plain-1", "plain", scene.record, request -> false);
        new Service(scene.store, "plain-2", "plain", scene.record, request -> false);
        Entry entry = scene.start("front-zone-a-1", "zone-a");
        entry.awaitReady();
        Thread.sleep(3_000);
        String prefix = "/orders";
        if (hasTrouble) {
            scene.store.put("op", "config", configuration(2, true));
            scene.record.add("configuration 2 acknowledged: a route with the prefix / is added");
            Thread.sleep(3_000);
            prefix = "";
        }
        int broken = 0;
        int answered = 0;
        int number = 0;
        for (String path : new String[] {"/report", "/metrics", "/status", "/metrics"}) {
            for (String method : new String[] {"GET", "POST"}) {
                String id = "request-" + ++number;
                Http.Message answer = scene.request(entry, id, method, prefix + path, "key-1", "a");
                if (answer == null || answer.status() / 100 != 2) continue;
                answered++;
                if (answer.header("Mulberrypin-Response-Seal").isEmpty()) {
                    broken++;
                    scene.record.add("MIXED id=" + id + ": a success without a server's proof, "
                        + answer.body.length + " bytes");
                }
            }
        }
        if (answered < 4) throw new IllegalStateException("only " + answered + " requests were answered");
        return broken == 0;
    }
}
