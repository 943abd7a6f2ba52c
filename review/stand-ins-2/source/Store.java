import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** The platform's store: rows, transactions, a feed and objects; answers after some milliseconds. */
final class Store {
    /** What becomes of a call. */
    enum Fate { SERVED, UNANSWERED, REFUSED, DONE_UNANSWERED }

    private record Row(String table, String part, String key, String value, long ver, boolean deleted) {
        Map<String, Object> json() {
            Map<String, Object> map = Json.of("table", table, "part", part, "key", key, "value", value, "ver", ver);
            if (deleted) map.put("deleted", true);
            return map;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private long version;
    volatile Function<Http.Message, Fate> fate = request -> Fate.SERVED;
    volatile long answerMs = 4;
    final Http.Server server;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, this::serve);
    }

    String address() {
        return server.address();
    }

    private static String rowKey(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    /** Writes a row as the operator or a server does; returns when it is acknowledged. */
    synchronized void put(String table, String key, Object json) {
        version++;
        write(table, "", key, Base64.getEncoder().encodeToString(Json.write(json).getBytes()), false);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        write(table, "", key, "", true);
        notifyAll();
    }

    /** Values of the rows of a table, by key. */
    synchronized Map<String, String> read(String table) {
        Map<String, String> values = new TreeMap<>();
        for (Row row : rows.values()) {
            if (row.table.equals(table)) values.put(row.key, new String(Base64.getDecoder().decode(row.value)));
        }
        return values;
    }

    private void write(String table, String part, String key, String value, boolean deleted) {
        Row row = new Row(table, part, key, value, version, deleted);
        if (deleted) rows.remove(rowKey(table, part, key));
        else rows.put(rowKey(table, part, key), row);
        history.add(row);
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        Fate fate = this.fate.apply(request);
        if (fate == Fate.UNANSWERED) return silent(socket);
        if (fate == Fate.REFUSED) {
            Http.respond(out, 503, "", "");
            return true;
        }
        Thread.sleep(answerMs);
        String path = request.path();
        Answer answer;
        if (path.endsWith("/rows-tx")) answer = transact(request);
        else if (path.endsWith("/rows-get")) answer = range(request);
        else if (path.endsWith("/rows-feed")) answer = feed(request);
        else answer = object(request, path);
        boolean isLost = fate == Fate.DONE_UNANSWERED || this.fate.apply(request) == Fate.UNANSWERED;
        if (isLost) return silent(socket);
        Http.respond(out, answer.status, "Content-Type: application/json\r\n", answer.body);
        return true;
    }

    /** The connection delivers nothing further. */
    private boolean silent(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) continue;
        return false;
    }

    private record Answer(int status, byte[] body) {}

    private Answer answer(int status, List<Row> found, boolean hasMore) {
        List<Object> list = new ArrayList<>();
        for (Row row : found) list.add(row.json());
        String text = Json.write(
            Json.of("rows", list, "hasMore", hasMore, "ver", version, "nowMs", System.nanoTime() / 1_000_000));
        return new Answer(status, text.getBytes());
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(Http.Message request) {
        Map<String, Object> root = Json.object(request.text());
        List<Row> found = new ArrayList<>();
        boolean holds = true;
        for (Object entry : (List<Object>) root.getOrDefault("expectedRev", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) entry;
            Row row = rows.get(rowKey(condition.get("table") + "", condition.get("part") + "", condition.get("key") + ""));
            if (row != null) found.add(row);
            holds &= (row == null ? 0 : row.ver) == (Long) condition.get("ver");
        }
        if (!holds) return answer(412, found, false);
        version++;
        for (Object entry : (List<Object>) root.getOrDefault("puts", List.of())) {
            Map<String, Object> put = (Map<String, Object>) entry;
            write(put.get("table") + "", put.get("part") + "", put.get("key") + "", put.get("value") + "", false);
        }
        for (Object entry : (List<Object>) root.getOrDefault("remove", List.of())) {
            Map<String, Object> removal = (Map<String, Object>) entry;
            write(removal.get("table") + "", removal.get("part") + "", removal.get("key") + "", "", true);
        }
        notifyAll();
        return answer(200, List.of(), false);
    }

    private synchronized Answer range(Http.Message request) {
        String table = request.query("table");
        String part = request.query("part");
        String to = request.query("to");
        int limit = request.query("limit").isEmpty() ? 500 : Integer.parseInt(request.query("limit"));
        List<Row> found = new ArrayList<>();
        boolean hasMore = false;
        for (Row row : rows.tailMap(rowKey(table, part, request.query("from"))).values()) {
            if (!row.table.equals(table) || !row.part.equals(part)) break;
            if (!to.isEmpty() && row.key.compareTo(to) >= 0) break;
            if (found.size() == limit) {
                hasMore = true;
                break;
            }
            found.add(row);
        }
        return answer(200, found, hasMore);
    }

    private synchronized Answer feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after"));
        long end = System.currentTimeMillis() + Long.parseLong(request.query("waitMs"));
        while (true) {
            List<Row> found = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).ver > after; i--) {
                if (history.get(i).table.equals(table)) found.add(0, history.get(i));
            }
            long left = end - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) return answer(200, found, false);
            wait(left);
        }
    }

    private Answer object(Http.Message request, String path) {
        String name = path.substring(path.lastIndexOf('/') + 1);
        byte[] nothing = new byte[0];
        switch (request.method()) {
            case "PUT" -> objects.put(name, request.body());
            case "DELETE" -> objects.remove(name);
            default -> {
                byte[] found = objects.get(name);
                return found == null ? new Answer(404, nothing) : new Answer(200, found);
            }
        }
        return new Answer(200, nothing);
    }
}
