import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The platform's store in memory: rows with transactions, ranges and a feed, and objects. */
final class Store {
    private static final class Row {
        String value;
        long version;
        boolean deleted;
    }

    private static final class Change {
        String table;
        String part;
        String key;
        long version;
    }

    private final Map<String, Map<String, TreeMap<String, Row>>> tables = new ConcurrentHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private long version;
    final Http.Server server;

    /** Calls that the store refuses with 503, by path. */
    volatile Predicate<String> refuses = path -> false;

    Store() throws IOException {
        server = new Http.Server("127.0.0.1", 0, this::handle);
    }

    synchronized void put(String table, String key, String value) {
        apply(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++version);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        apply(table, "", key, null, ++version);
        notifyAll();
    }

    private Row row(String table, String part, String key) {
        return tables.computeIfAbsent(table, t -> new ConcurrentHashMap<>())
            .computeIfAbsent(part, p -> new TreeMap<>()).get(key);
    }

    private void apply(String table, String part, String key, String value, long at) {
        Row row = new Row();
        row.value = value == null ? "" : value;
        row.version = at;
        row.deleted = value == null;
        row(table, part, key);
        tables.get(table).get(part).put(key, row);
        Change change = new Change();
        change.table = table;
        change.part = part;
        change.key = key;
        change.version = at;
        changes.add(change);
    }

    private String json(String table, String part, String key, Row row) {
        return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
            + ",\"value\":" + Json.quote(row.value) + ",\"ver\":" + row.version + ",\"deleted\":" + row.deleted + "}";
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String path = request.path();
        if (refuses.test(path)) {
            connection.answer(503, "", new byte[0]);
        } else if (path.equals("/mulberrypin/rows-tx")) {
            Thread.sleep(3);
            transact(request, connection);
        } else if (path.equals("/mulberrypin/rows-get")) {
            answer(connection, 200, range(request));
        } else if (path.equals("/mulberrypin/rows-feed")) {
            answer(connection, 200, feed(request));
        } else if (path.startsWith("/mulberrypin/blob-")) {
            object(request, connection, path.substring(path.lastIndexOf('/') + 1));
        } else {
            connection.answer(400, "", new byte[0]);
        }
    }

    private void answer(Http.Connection connection, int status, String text) throws IOException {
        connection.answer(status, "Content-Type: application/json\r\n", text.getBytes(StandardCharsets.UTF_8));
    }

    private void object(Http.Message request, Http.Connection connection, String name) throws IOException {
        if (request.method().equals("PUT")) {
            boolean isTooLarge = request.body.length > 8_388_608;
            if (!isTooLarge) objects.put(name, request.body);
            connection.answer(isTooLarge ? 413 : 200, "", new byte[0]);
        } else if (request.method().equals("DELETE")) {
            objects.remove(name);
            connection.answer(200, "", new byte[0]);
        } else if (objects.containsKey(name)) {
            connection.answer(200, "Content-Type: application/octet-stream\r\n", objects.get(name));
        } else {
            connection.answer(404, "", new byte[0]);
        }
    }

    private void transact(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, Object> root = Json.object(request.text());
        List<Map<String, Object>> puts = Json.objects(root.get("puts"));
        List<Map<String, Object>> removals = Json.objects(root.get("remove"));
        List<Map<String, Object>> conditions = Json.objects(root.get("expectedRev"));
        if (puts.size() + removals.size() + conditions.size() > 100 || request.body.length > 1_000_000) {
            connection.answer(413, "", new byte[0]);
            return;
        }
        String text;
        int status = 200;
        synchronized (this) {
            boolean holds = true;
            StringBuilder rows = new StringBuilder();
            for (Map<String, Object> condition : conditions) {
                String table = (String) condition.get("table");
                String part = (String) condition.get("part");
                String key = (String) condition.get("key");
                Row row = row(table, part, key);
                long found = row == null || row.deleted ? 0 : row.version;
                holds &= found == (Long) condition.get("ver");
                if (found > 0) {
                    rows.append(rows.length() > 0 ? "," : "").append(json(table, part, key, row));
                }
            }
            if (holds) {
                rows.setLength(0);
                long at = ++version;
                for (Map<String, Object> put : puts) {
                    apply((String) put.get("table"), (String) put.get("part"), (String) put.get("key"),
                        (String) put.get("value"), at);
                }
                for (Map<String, Object> removal : removals) {
                    apply((String) removal.get("table"), (String) removal.get("part"), (String) removal.get("key"),
                        null, at);
                }
                notifyAll();
            } else {
                status = 412;
            }
            text = "{\"rows\":[" + rows + "],\"ver\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000 + "}";
        }
        answer(connection, status, text);
    }

    private synchronized String range(Http.Message request) {
        String table = request.query("table");
        String part = request.query("part");
        String from = request.query("from");
        String to = request.query("to");
        String limit = request.query("limit");
        int most = limit.isEmpty() ? 500 : Math.min(500, Integer.parseInt(limit));
        row(table, part, "");
        StringBuilder rows = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Map.Entry<String, Row> entry : tables.get(table).get(part).tailMap(from).entrySet()) {
            if (!to.isEmpty() && entry.getKey().compareTo(to) >= 0) break;
            if (entry.getValue().deleted) continue;
            if (count == most || rows.length() > 900_000) {
                hasMore = true;
                break;
            }
            rows.append(count++ > 0 ? "," : "").append(json(table, part, entry.getKey(), entry.getValue()));
        }
        return "{\"rows\":[" + rows + "],\"hasMore\":" + hasMore + ",\"ver\":" + version + ",\"nowMs\":"
            + System.nanoTime() / 1_000_000 + "}";
    }

    private synchronized String feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after"));
        String wait = request.query("waitMs");
        long end = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000;
        while (true) {
            StringBuilder rows = new StringBuilder();
            for (Change change : changes) {
                if (change.version <= after || !change.table.equals(table)) continue;
                Row row = row(table, change.part, change.key);
                if (row.version != change.version) continue;
                rows.append(rows.length() > 0 ? "," : "").append(json(table, change.part, change.key, row));
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (rows.length() > 0 || left <= 0) {
                return "{\"rows\":[" + rows + "],\"ver\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000
                    + "}";
            }
            wait(left);
        }
    }
}
