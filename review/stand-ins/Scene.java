import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * One play of a case: a store, backend servers, and entry instances that run as processes with the command of the deploy
 * file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Scene {
    interface Play {
        boolean isBroken(Scene scene) throws Exception;
    }

    /** A started entry instance. */
    record Entry(String name, Process process, String front, String ready) {
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    private final long startNanoseconds = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    private final Path folder;

    private Scene(Path recordFile) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review");
        store = new Store();
    }

    /** Plays a case and ends this process with the exit status of the case. */
    static void play(String[] arguments, Play play) {
        int status = 2;
        Scene scene = null;
        try {
            scene = new Scene(Path.of(arguments[0]));
            Runtime.getRuntime().addShutdownHook(new Thread(scene::killProcesses));
            scene.note("disruption: " + (scene.trouble ? "yes" : "no"));
            boolean broken = play.isBroken(scene);
            scene.note(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            status = broken ? 1 : 0;
        } catch (Throwable failure) {
            if (scene != null) scene.note("RESULT: could not run: " + failure);
            failure.printStackTrace();
        }
        if (scene != null) scene.end();
        System.exit(status);
    }

    long milliseconds() {
        return (System.nanoTime() - startNanoseconds) / 1_000_000;
    }

    synchronized void note(String line) {
        String stamped = String.format("%7.3f s  %s", milliseconds() / 1000.0, line);
        record.println(stamped);
        record.flush();
        System.out.println(stamped);
    }

    static void pause(long milliseconds) throws InterruptedException {
        Thread.sleep(milliseconds);
    }

    private void killProcesses() {
        for (Process process : processes) process.destroyForcibly();
    }

    private void end() {
        killProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        for (String name : folder.toFile().list()) folder.resolve(name).toFile().delete();
        folder.toFile().delete();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts an entry instance with the command of the deploy file and waits until it is ready. */
    Entry startEntry(String name) throws Exception {
        String front = "127.0.0.1:" + freePort();
        String ready = "127.0.0.1:" + freePort();
        Map<String, Object> settings = Json.of(
            "nodeName", name, "role", "entry", "machineClass", "front", "serves", List.of("front"), "ip", "127.0.0.1",
            "zone", "zone-a", "region", "region-a", "zones", Map.of("zone-a", "region-a"),
            "bind", Json.of("front", front, "ready", ready), "bootstrap", true, "countsAsLoss", false,
            "limits", Json.of("cpuShare", 0.75, "cores", 2, "memoryMb", 440, "maxFds", 8200), "heartbeatMs", 1200,
            "bounds", Json.of(
                "contactMs", 3000, "ackMs", 4000, "drainMs", 2000, "graceS", 8, "lossSlackMs", 200,
                "configApplyMs", 2000, "requireFence", true, "leaseMs", 3000, "reportWindowS", 5, "settleMs", 1000
            ),
            "platform", Json.of("address", store.address(), "form", "table")
        );
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String run = deploy.substring(deploy.indexOf("run = \"") + 7);
        String[] words = run.substring(0, run.indexOf('"')).split(" ");
        List<String> command = new ArrayList<>();
        // Instances on one host need different metrics ports.
        for (String word : words) command.add(word.equals("9464") ? "" + freePort() : word);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("MULBERRYPIN_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        Entry entry = new Entry(name, process, front, ready);
        long limit = milliseconds() + 40_000;
        while (!isReady(entry)) {
            if (milliseconds() > limit || !process.isAlive()) throw new IOException(name + " did not become ready");
            pause(100);
        }
        note(name + " is ready, process " + process.pid());
        return entry;
    }

    boolean isReady(Entry entry) {
        Wire.Message answer = Wire.call(
            entry.ready, "GET", "/mulberrypin/ready", Map.of("Host", "ready"), new byte[0], 1000
        );
        return answer != null && answer.status() == 200;
    }

    /** Lines of the instance's log that contain {@code text}. */
    List<String> log(String name, String text) throws IOException {
        return Files.readString(folder.resolve(name + ".log")).lines().filter(line -> line.contains(text)).toList();
    }

    /** Writes a configuration as the operator does. */
    void configure(long version, List<Object> routes, List<Object> services, List<Object> tenants) {
        Map<String, Object> limits = Json.of(
            "maxHeaderBytes", 16384, "maxBodyBytes", 33554432, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000
        );
        store.put("op", "", "config", Json.write(Json.of(
            "version", version, "routes", routes, "services", services, "limits", limits, "tenants", tenants
        )));
        note("the store acknowledges configuration " + version);
    }

    static Map<String, Object> route(String name, String kind, String service, int timeoutMilliseconds, int attempts) {
        return Json.of(
            "name", name, "host", "shop.example", "prefix", "/" + name + "/", "kind", kind,
            "timeoutMs", timeoutMilliseconds, "goalMs", 150, "priority", 2, "service", service, "maxAttempts", attempts,
            "public", false
        );
    }

    static Map<String, Object> tenant(String name, String key) {
        return Json.of("name", name, "apiKeys", List.of(key), "priority", 1);
    }

    /** Registers a backend server as it does itself; {@code model} is null for a plain service. */
    void register(String id, String service, String address, String model, long version, long born) {
        List<Object> models = model == null
            ? List.of() : List.of(Json.of("name", model, "version", version, "adapters", List.of()));
        Map<String, Object> entry = Json.of(
            "service", service, "address", address, "zone", "zone-a", "version", "1", "slots", 8, "state", "ready",
            "coldLeftMs", 0, "sequence", 1, "born", born
        );
        if (model != null) entry.put("models", models);
        store.put("servers", "", id, Json.write(entry));
    }

    /** Sends a request as a consumer with a new connection does. */
    Wire.Message request(Entry entry, String id, String path, String key, byte[] body, int limitMilliseconds) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("Host", "shop.example");
        headers.put("Mulberrypin-Request-Id", id);
        headers.put("Mulberrypin-Deadline-Ms", "" + limitMilliseconds);
        if (key != null) headers.put("Authorization", "Bearer " + key);
        return Wire.call(entry.front, "POST", path, headers, body, limitMilliseconds);
    }

    /** Submits a batch job as a trainer does. */
    Wire.Message submit(Entry entry, String job, String prefix, String key, Map<String, Object> submission) {
        return request(entry, job, prefix, key, Json.write(submission).getBytes(StandardCharsets.UTF_8), 4000);
    }

    static Map<String, Object> item(String id, String path, String model, String group, Map<String, Object> reward) {
        Map<String, Object> item = Json.of(
            "id", id, "path", path, "headers", Json.of(
                "Mulberrypin-Model", model, "Mulberrypin-Token-Count", "30,24", "Mulberrypin-Prompt-Prefix", "9c2e41:30"
            ),
            "body", Base64.getEncoder().encodeToString("prompt".getBytes(StandardCharsets.UTF_8)), "tokens", 54,
            "group", group
        );
        if (reward != null) item.put("scorerUrl", reward);
        return item;
    }

    static Map<String, Object> reward(String id, String path) {
        return Json.of(
            "id", id, "host", "shop.example", "path", path, "body",
            Base64.getEncoder().encodeToString("score".getBytes(StandardCharsets.UTF_8))
        );
    }

    /** Reads the results of a batch job from a position; null if the call is not answered with 200. */
    Map<String, Object> results(Entry entry, String job, int after, String key) {
        Map<String, String> headers = Map.of("Host", "shop.example", "Authorization", "Bearer " + key);
        Wire.Message answer = Wire.call(
            entry.front, "GET", "/mulberrypin/lots/" + job + "?after=" + after, headers, new byte[0], 3000
        );
        return answer == null || answer.status() != 200 ? null : Json.object(answer.text());
    }

    /** Reads all listed results of a batch job, page by page. */
    List<Map<?, ?>> allResults(Entry entry, String job, String key) throws IOException {
        List<Map<?, ?>> all = new ArrayList<>();
        while (true) {
            Map<String, Object> page = results(entry, job, all.size(), key);
            if (page == null) throw new IOException("the results of " + job + " could not be read");
            List<?> results = (List<?>) page.get("results");
            if (results.isEmpty()) return all;
            for (Object result : results) all.add((Map<?, ?>) result);
        }
    }

    /** Fails the play if a stand-in did more harm than the pages allow, as this would prove nothing. */
    void requireDose(String what, int harmed, int answers, double limit) {
        note(what + ": " + harmed + " of " + answers + " answers, allowed share " + limit);
        if (harmed > answers * limit) throw new IllegalStateException(what + " is over its largest dose");
    }

    static String describe(Wire.Message answer) {
        return answer == null ? "no complete answer" : answer.status() + " seal="
            + answer.header("mulberrypin-response-seal") + " body=" + answer.body().length + " bytes";
    }
}
