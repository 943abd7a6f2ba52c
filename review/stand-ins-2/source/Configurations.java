import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Configurations as the operator writes them. */
final class Configurations {
    private Configurations() {}

    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String TENANT = "huka270";

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMs, int goalMs,
        int attempts, boolean isPublic, Object... more) {
        Map<String, Object> route = Json.of("name", name, "host", "shop.example", "prefix", prefix, "kind", kind,
            "timeoutMs", timeoutMs, "goalMs", goalMs, "priority", 2, "service", service, "maxAttempts", attempts,
            "public", isPublic);
        route.putAll(Json.of(more));
        return route;
    }

    /** A configuration of a plain service and of engines with one model. */
    static Map<String, Object> configuration(long version, List<Map<String, Object>> routes, List<String> keys) {
        List<Object> services = new ArrayList<>();
        services.add(Json.of("name", "shop-app", "healthPath", "/health", "maxConns", 96, "protocol", "h1", "tls", false));
        services.add(Json.of("name", "old-app", "healthPath", "/health", "maxConns", 96, "protocol", "h1", "tls", false));
        services.add(Json.of("name", "sorter-lm", "healthPath", "/health", "maxConns", 130, "protocol", "h1", "tls", false,
            "engine", Json.of("slots", 8, "models", List.of(Json.of("name", "sorter")))));
        return Json.of("version", version, "routes", routes, "services", services,
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 33554432, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15000),
            "tenants", List.of(Json.of("name", TENANT, "apiKeys", keys, "priority", 1)));
    }
}
