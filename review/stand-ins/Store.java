import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** A stand-in of the platform's store and of its interface for usage reports: tables, a change feed and objects. */
final class Store {
    private record Row(String table, String part, String key, String value, long version, boolean deleted) {
        Map<String, Object> json() {
            Map<String, Object> json = Json.of("table", table, "part", part, "key", key, "value", value, "ver", version);
            if (deleted) json.put("deleted", true);
            return json;
        }
    }

    private static final int PAGE_ROWS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private long version;
    final Wire.Server server;

    /** Calls for which this returns true are refused with 503 and without an effect. */
    volatile Predicate<String> refuses = path -> false;

    Store() throws Exception {
        server = new Wire.Server("127.0.0.1", this::serve);
    }

    String address() {
        return server.address();
    }

    /** Writes a row as an operator, a trainer or a backend server does. */
    synchronized void put(String table, String part, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        apply(new Row(table, part, key, value, version, false));
        notifyAll();
    }

    synchronized void remove(String table, String part, String key) {
        if (!rows.containsKey(name(table, part, key))) return;
        version++;
        apply(new Row(table, part, key, "", version, true));
        notifyAll();
    }

    /** The text of a row; empty if there is none. */
    synchronized String text(String table, String part, String key) {
        Row row = rows.get(name(table, part, key));
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private void apply(Row row) {
        if (row.deleted) rows.remove(name(row.table, row.part, row.key));
        else rows.put(name(row.table, row.part, row.key), row);
        history.add(row);
    }

    private static String name(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    private void serve(Wire.Message request, Wire.Connection connection) throws Exception {
        String path = request.path();
        String call = path.substring(path.lastIndexOf("/mulberrypin/") + 13).split("[/?]")[0];
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (refuses.test(path)) {
            connection.respond(503, Map.of(), new byte[0]);
            return;
        }
        switch (call) {
            case "rows-tx" -> transact(Json.object(request.text()), connection);
            case "rows-get" -> page(query(path), connection);
            case "rows-feed" -> feed(query(path), connection);
            case "blob-put" -> {
                objects.put(last, request.body());
                connection.respond(200, Map.of(), new byte[0]);
            }
            case "blob-get" -> {
                byte[] content = objects.get(last);
                connection.respond(content == null ? 404 : 200, Map.of(), content == null ? new byte[0] : content);
            }
            case "blob-drop" -> {
                objects.remove(last);
                connection.respond(200, Map.of(), new byte[0]);
            }
            default -> connection.respond(400, Map.of(), new byte[0]);
        }
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> root, String name) {
        return (List<Map<String, Object>>) root.getOrDefault(name, List.of());
    }

    private static String nameOf(Map<String, Object> row) {
        return name((String) row.get("table"), (String) row.get("part"), (String) row.get("key"));
    }

    private synchronized void transact(Map<String, Object> root, Wire.Connection connection) throws Exception {
        List<Map<String, Object>> conditions = entries(root, "expectedRev");
        boolean holds = conditions.stream().allMatch(condition -> {
            Row row = rows.get(nameOf(condition));
            return (row == null ? 0 : row.version) == (Long) condition.get("ver");
        });
        if (!holds) {
            List<Row> found = conditions.stream().map(it -> rows.get(nameOf(it))).filter(it -> it != null).toList();
            answer(connection, 412, found, false);
            return;
        }
        version++;
        for (Map<String, Object> put : entries(root, "puts")) {
            apply(new Row(
                (String) put.get("table"), (String) put.get("part"), (String) put.get("key"), (String) put.get("value"),
                version, false
            ));
        }
        for (Map<String, Object> removal : entries(root, "remove")) {
            apply(new Row(
                (String) removal.get("table"), (String) removal.get("part"), (String) removal.get("key"), "", version, true
            ));
        }
        notifyAll();
        answer(connection, 200, List.of(), false);
    }

    private synchronized void page(Map<String, String> query, Wire.Connection connection) throws Exception {
        String prefix = query.get("table") + "\0" + query.getOrDefault("part", "") + "\0";
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        String to = query.getOrDefault("to", "");
        List<Row> page = new ArrayList<>();
        boolean hasMore = false;
        int bytes = 0;
        for (Row row : rows.tailMap(prefix + query.getOrDefault("from", ""), true).values()) {
            if (!name(row.table, row.part, row.key).startsWith(prefix)) break;
            if (!to.isEmpty() && row.key.compareTo(to) >= 0) break;
            bytes += row.value.length();
            if (page.size() == limit || (bytes > PAGE_BYTES && !page.isEmpty())) {
                hasMore = true;
                break;
            }
            page.add(row);
        }
        answer(connection, 200, page, hasMore);
    }

    private synchronized void feed(Map<String, String> query, Wire.Connection connection) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            Map<String, Row> changes = new LinkedHashMap<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version > after; i--) {
                Row row = history.get(i);
                if (row.table.equals(query.get("table"))) changes.putIfAbsent(name(row.table, row.part, row.key), row);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                List<Row> ordered = new ArrayList<>(changes.values());
                ordered.sort((a, b) -> Long.compare(a.version, b.version));
                answer(connection, 200, ordered, false);
                return;
            }
            wait(left);
        }
    }

    private void answer(Wire.Connection connection, int status, List<Row> found, boolean hasMore) throws Exception {
        String body = Json.write(Json.of(
            "rows", found.stream().map(Row::json).toList(), "hasMore", hasMore, "ver", version,
            "nowMs", System.nanoTime() / 1_000_000
        ));
        connection.respond(
            status, Map.of("content-type", "application/json"), body.getBytes(StandardCharsets.UTF_8)
        );
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new TreeMap<>();
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8)
            );
        }
        return query;
    }
}
