import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entry instances as processes, started with the run line of the deploy file, with settings like those of kerbrat-pin. */
final class Deployment implements AutoCloseable {
    /** One entry machine: its address and its process. */
    final class Instance {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final Proxy storeLink;
        Process process;
        private int starts;

        Instance(int number) throws IOException {
            name = "front-zone-a-" + number;
            ip = network + (number + 10);
            front = freePort(ip);
            ready = freePort(ip);
            storeLink = new Proxy(ip, store.address());
        }

        void start() throws IOException {
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, Json.write(Json.of(
                "nodeName", name, "role", "entry", "machineClass", "front", "serves", List.of("front"), "ip", ip,
                "zone", "zone-a", "region", "zone", "zones", Json.of("zone-a", "zone"),
                "bind", Json.of("front", ip + ":" + front, "ready", ip + ":" + ready),
                "bootstrap", starts == 0,
                "limits", Json.of("cpuShare", 0.75, "cores", 2, "memoryMb", 440, "maxFds", 8200),
                "heartbeatMs", 1200,
                "bounds", Json.of("contactMs", 3000, "ackMs", 4000, "drainMs", 2000, "graceS", 8, "lossSlackMs", 200,
                    "configApplyMs", 2000, "requireFence", true, "leaseMs", 3000, "thawMs", 300, "reportWindowS", 5,
                    "usageLateS", 10, "recoveryS", 12, "cancelMs", 3000, "settleMs", 1000, "statusS", 120),
                "platform", Json.of("address", storeLink.address(), "form", "table", "writesPerS", 800,
                    "readsPerS", 2000, "txMs", 3.0, "partWritesPerS", 300, "rowBytes", 65536, "across", true,
                    "historyS", 20, "blobBytes", 8388608, "blobMs", 25.0),
                "cloudApi", Json.of("address", cloud.address(), "ratePerS", 50.0, "duties",
                    List.of("usage_report"), "dutyPerS", 50.0))));
            List<String> command = new ArrayList<>(List.of(runLine.split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("MULBERRYPIN_SETTINGS", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "-" + ++starts + ".log").toFile());
            process = builder.start();
            record.add("start", "instance", name, "process", process.pid());
        }

        String frontAddress() {
            return ip + ":" + front;
        }

        boolean isReady() {
            try {
                return Http.call(ip + ":" + ready, "GET", "/mulberrypin/ready", "Host: x\r\n", new byte[0], 500)
                    .status() == 200;
            } catch (IOException notReady) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            record.add("signal", "instance", this.name, "signal", name);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }
    }

    final Path root;
    final Path folder;
    final Record record;
    final Store store;
    final Http.Server cloud;
    final String network;
    final String runLine;
    final List<Instance> instances = new ArrayList<>();
    final List<Servers.Backend> backends = new ArrayList<>();

    Deployment(Path root, Record record, int count) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("review-case");
        long id = ProcessHandle.current().pid();
        network = "127." + (64 + id % 128) + "." + (1 + id / 128 % 250) + ".";
        store = new Store(network + "1");
        cloud = new Http.Server(network + "2", 0, (request, socket, out) -> {
            record.add("usage", "holder", request.header("mulberrypin-duty-holder"), "token",
                request.header("mulberrypin-fence-token"), "body", request.text());
            Http.respond(out, 200, "", "");
            return true;
        });
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!line.find()) throw new IOException("no run line in deploy/system.toml");
        runLine = line.group(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        for (int i = 1; i <= count; i++) instances.add(new Instance(i));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    Servers.Backend backend(String id, String service, String model, int slots, long workMs) throws IOException {
        Servers.Backend backend =
            new Servers.Backend(store, record, network + (100 + backends.size()), id, service, model, slots, workMs);
        backends.add(backend);
        backend.register();
        return backend;
    }

    void startAll() throws IOException, InterruptedException {
        for (Instance instance : instances) instance.start();
        awaitReady(instances, 30_000);
    }

    void awaitReady(List<Instance> awaited, long timeoutMs) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + timeoutMs;
        for (Instance instance : awaited) {
            while (!instance.isReady()) {
                if (System.currentTimeMillis() > end) throw new IOException(instance.name + " is not ready");
                Thread.sleep(50);
            }
        }
    }

    /** Makes a caller's call and records it with its outcome; null if there was no complete response. */
    Http.Message send(String address, String method, String target, String id, String key, long deadlineMs, byte[] body,
        String more) {
        String headers = "Host: shop.example\r\nMulberrypin-Request-Id: " + id + "\r\nAuthorization: Bearer " + key
            + "\r\n" + (deadlineMs > 0 ? "Mulberrypin-Deadline-Ms: " + deadlineMs + "\r\n" : "") + more;
        record.add("sent", "request", id, "to", address, "call", method + " " + target);
        try {
            Http.Message response =
                Http.call(address, method, target, headers, body, (int) (deadlineMs > 0 ? deadlineMs + 1_500 : 6_000));
            record.add("answered", "request", id, "status", response.status(), "seal",
                response.header("mulberrypin-response-seal"), "body",
                response.text().length() > 120 ? response.text().length() + " characters" : response.text());
            return response;
        } catch (IOException failure) {
            record.add("unanswered", "request", id, "failure", failure.getMessage());
            return null;
        }
    }

    private void killAll() {
        for (Instance instance : instances) {
            if (instance.process != null) instance.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Instance instance : instances) {
            if (instance.process != null) instance.process.waitFor(5, TimeUnit.SECONDS);
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) Files.delete(path);
            }
        } else {
            System.err.println("kept " + folder);
        }
    }
}
