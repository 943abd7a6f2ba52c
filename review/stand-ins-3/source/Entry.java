import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry instance as a process of its own, started with the line "run" of the deploy file. */
final class Entry {
    final String name;
    final String front;
    final String ready;
    private final Path folder;
    private final Path settings;
    private final Record record;
    private Process process;
    private int starts;

    /** The host is a loopback address of this instance alone, since all instances have the same ports. */
    Entry(String name, String zone, String host, Store store, Path folder, Record record) throws IOException {
        this.name = name;
        this.folder = folder;
        this.record = record;
        this.front = host + ":" + freePort(host);
        this.ready = host + ":" + freePort(host);
        this.settings = folder.resolve(name + ".json");
        Files.writeString(settings, "{\"nodeName\":" + Json.quote(name) + ",\"role\":\"entry\",\"machineClass\":\"front\","
            + "\"serves\":[\"front\"],\"ip\":" + Json.quote(host) + ",\"zone\":" + Json.quote(zone)
            + ",\"region\":\"region\",\"bind\":{\"front\":" + Json.quote(front) + ",\"ready\":" + Json.quote(ready)
            + "},\"bootstrap\":true,\"limits\":{\"cpuShare\":0.75,\"cores\":2,\"memoryMb\":440,\"maxFds\":8200},"
            + "\"discovery\":\"platform\",\"bounds\":{\"contactMs\":3000,\"drainMs\":2000,\"graceS\":8,"
            + "\"configApplyMs\":2000,\"requireFence\":true,\"leaseMs\":3000,\"reportWindowS\":5,\"settleMs\":1000,"
            + "\"cancelMs\":3000},\"platform\":{\"address\":" + Json.quote(store.server.address())
            + ",\"form\":\"table\",\"rowBytes\":65536,\"blobBytes\":8388608},\"cloudApi\":{\"address\":"
            + Json.quote(store.server.address()) + ",\"duties\":[]}}");
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
        List<String> command = List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("MULBERRYPIN_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + "-" + ++starts + ".log").toFile());
        process = builder.start();
        record.add("start of " + name);
    }

    boolean isReady() {
        Http.Message answer = Http.call(ready, "GET", "/mulberrypin/ready", "Host: ready\r\n", new byte[0], 1_000);
        return answer != null && answer.status() == 200;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long id() {
        return process.pid();
    }

    void awaitReady() throws InterruptedException {
        for (int turn = 0; turn < 300 && !isReady(); turn++) Thread.sleep(100);
        if (!isReady()) throw new IllegalStateException(name + " is not ready");
        record.add(name + " is ready");
    }

    void kill() throws InterruptedException {
        record.add("kill of " + name);
        process.destroyForcibly().waitFor();
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
