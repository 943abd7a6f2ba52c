import java.util.List;

/** Configurations and batch jobs of the scripts, and calls of a trainer. */
final class Lots {
    private Lots() {
    }

    static String configuration(int version, String... furtherRoutes) {
        String routes = route("lots", "/lots/", "rollout", "engines", 3, false) + ","
            + route("scores", "/scores/", "idempotent", "plain", 4, true);
        for (String route : furtherRoutes) routes += "," + route;
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"engines\","
            + "\"healthPath\":\"/health\",\"maxConns\":130,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"model-1\"}]}},"
            + "{\"name\":\"plain\",\"healthPath\":\"/health\",\"maxConns\":96}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1},"
            + "{\"name\":\"tenant-2\",\"apiKeys\":[\"key-2\"],\"priority\":1}]}";
    }

    static String route(String name, String prefix, String kind, String service, int attempts, boolean isPublic) {
        return "{\"name\":" + Json.quote(name) + ",\"host\":\"" + Scene.HOST + "\",\"prefix\":" + Json.quote(prefix)
            + ",\"kind\":" + Json.quote(kind) + ",\"timeoutMs\":10000,\"goalMs\":500,\"resultTargetMs\":7500,"
            + "\"queueTtlS\":40,\"priority\":1,\"service\":" + Json.quote(service) + ",\"maxAttempts\":" + attempts
            + ",\"public\":" + isPublic + "}";
    }

    static String item(String lot, int number, String path) {
        return "{\"id\":\"" + lot + "-" + number + "\",\"path\":" + Json.quote(path) + ",\"headers\":"
            + "{\"Mulberrypin-Model\":\"model-1\",\"Mulberrypin-Token-Count\":\"16,24\","
            + "\"Mulberrypin-Prompt-Prefix\":\"9c2e41:10,5d07b8:6\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":40,"
            + "\"group\":\"" + lot + "-group\",\"scorerUrl\":{\"id\":\"" + lot + "-score-" + number + "\",\"host\":\""
            + Scene.HOST + "\",\"path\":\"/scores/" + number + "\",\"body\":\"3q2+7w==\"}}";
    }

    static String lot(List<String> items) {
        return "{\"step\":0,\"model\":\"model-1\",\"minVersion\":0,\"targetCount\":1,\"items\":["
            + String.join(",", items) + "]}";
    }

    /** Results that a page lists. */
    static int listed(Http.Message page) {
        return page == null || page.status() != 200 ? 0 : Json.objects(Json.object(page.text()).get("results")).size();
    }
}
