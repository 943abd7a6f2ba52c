import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The store, servers and entry instances of one script. Ends all processes and removes the temporary folder. */
final class Scene implements AutoCloseable {
    static final String HOST = "shop.example";

    /** Longest time of a script, in milliseconds, below the 120 s that it may take. */
    private static final long LIMIT_MILLISECONDS = 110_000;

    final Path temporary = Files.createTempDirectory("review-3-");
    final Record record;
    final Store store = new Store();
    final List<Entry> entries = new ArrayList<>();

    interface Play {
        /** Returns whether the rule held. */
        boolean run(Scene scene, boolean hasTrouble) throws Exception;
    }

    private Scene(Path folder) throws IOException {
        record = new Record(folder);
    }

    /** Plays a script; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
    static void play(String[] arguments, Play play) {
        int code = 2;
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Scene scene = new Scene(Path.of(arguments[0]))) {
            Thread end = new Thread(scene::close);
            Runtime.getRuntime().addShutdownHook(end);
            Thread limit = new Thread(() -> endAfterLimit(scene));
            limit.setDaemon(true);
            limit.start();
            scene.record.add("TROUBLE=" + (hasTrouble ? 1 : 0));
            boolean holds = play.run(scene, hasTrouble);
            scene.record.add(holds ? "result: the rule held" : "result: the rule was broken");
            System.out.println(holds ? "the rule held" : "the rule was broken");
            code = holds ? 0 : 1;
        } catch (Throwable failed) {
            failed.printStackTrace();
        }
        Runtime.getRuntime().exit(code);
    }

    /** A script that takes too long ends as one that could not run; the shutdown hook ends its processes. */
    private static void endAfterLimit(Scene scene) {
        try {
            Thread.sleep(LIMIT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            return;
        }
        scene.record.add("result: the time limit was reached");
        Runtime.getRuntime().exit(2);
    }

    /** Starts an instance on a loopback address of its own, which differs from those of other scripts. */
    Entry start(String name, String zone) throws Exception {
        long id = ProcessHandle.current().pid();
        String host = "127." + (1 + id / 250 % 250) + "." + (1 + id % 250) + "." + (11 + entries.size());
        Entry entry = new Entry(name, zone, host, store, temporary, record);
        entries.add(entry);
        entry.start();
        return entry;
    }

    /** A request of a consumer on a new channel; null if there is no complete answer. */
    Http.Message request(Entry entry, String id, String method, String target, String key, String body) {
        return request(entry, id, method, target, key, body, 4_000);
    }

    Http.Message request(
        Entry entry, String id, String method, String target, String key, String body, int deadline) {
        String headers = "Host: " + HOST + "\r\nMulberrypin-Request-Id: " + id + "\r\nMulberrypin-Deadline-Ms: "
            + deadline + "\r\n" + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
            + "Connection: close\r\n";
        record.add("send to " + entry.name + " id=" + id + " " + method + " " + target + " key=" + key);
        Http.Message answer = Http.call(entry.front, method, target, headers, body.getBytes(), deadline + 1_000);
        record.add("answer of " + entry.name + " id=" + id + " "
            + (answer == null ? "none" : answer.status() + " seal=" + answer.header("Mulberrypin-Response-Seal")
                + " retry-after=" + answer.header("Retry-After") + " " + beginning(answer.text())));
        return answer;
    }

    private static String beginning(String text) {
        String line = text.lines().findFirst().orElse("");
        return line.length() > 120 ? line.substring(0, 120) : line;
    }

    @Override
    public synchronized void close() {
        entries.forEach(Entry::end);
        String keep = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(temporary)) {
            if (keep == null) files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // The folder is gone.
        }
    }
}
