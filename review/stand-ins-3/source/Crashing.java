import java.util.ArrayList;
import java.util.List;

/**
 * A request that crashes each server that runs it comes again every 500 ms, at the instances in turn. Trouble is either
 * the kill and restart of the instance that saw it first, or a new configuration that replaces the tenant's key.
 */
final class Crashing {
    private Crashing() {
    }

    /** Bound of the rule: retries after the third crash, from machines in touch, contactMs after that crash. */
    private static final int ALLOWED_RETRIES = 3;
    private static final long CONTACT_MILLISECONDS = 3_000;
    private static final String PATH = "/orders/crash";

    static String configuration(int version, String key) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"orders\",\"host\":\"" + Scene.HOST
            + "\",\"prefix\":\"/orders/\",\"kind\":\"idempotent\",\"timeoutMs\":3000,\"goalMs\":150,\"priority\":2,"
            + "\"service\":\"plain\",\"maxAttempts\":3,\"public\":false}],\"services\":[{\"name\":\"plain\","
            + "\"healthPath\":\"/health\",\"maxConns\":96}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"" + key + "\"],\"priority\":1}]}";
    }

    static boolean run(Scene scene, boolean kills, boolean replacesKey) throws Exception {
        scene.store.put("op", "config", configuration(1, "key-1"));
        List<Service> services = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            services.add(new Service(scene.store, "plain-" + number, "plain", scene.record,
                request -> request.path().equals(PATH)));
        }
        Entry first = scene.start("front-zone-a-1", "zone-a");
        Entry second = scene.start("front-zone-b-1", "zone-b");
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(CONTACT_MILLISECONDS);
        for (int number = 0; number < 8; number++) {
            scene.request(number % 2 == 0 ? first : second, "sound-" + number, "POST", "/orders/1", "key-1", "a");
        }
        String key = "key-1";
        int sent = 0;
        while (runs(services).size() < 3 && sent < 20) {
            scene.request(first, "crash-" + sent++, "POST", PATH, key, "the same body");
            Thread.sleep(500);
        }
        long third = runs(services).get(2);
        scene.record.add("third crash at " + third + " ms");
        Thread.sleep(2_000);
        long firstInTouch = third + CONTACT_MILLISECONDS;
        if (kills) {
            first.kill();
            Thread.sleep(500);
            first.start();
            first.awaitReady();
            firstInTouch = scene.record.milliseconds() + CONTACT_MILLISECONDS;
        }
        if (replacesKey) {
            key = "key-2";
            scene.store.put("op", "config", configuration(2, key));
            scene.record.add("configuration 2 acknowledged: key-2 in place of key-1");
        }
        Thread.sleep(CONTACT_MILLISECONDS + 500);
        // The first request after the wait is sent to the first instance, the following ones to both in turn.
        while (scene.record.milliseconds() < 75_000) {
            long now = scene.record.milliseconds();
            Entry entry = sent % 2 == 0 && now >= firstInTouch ? first : second;
            scene.request(entry, "crash-" + sent++, "POST", PATH, key, "the same body");
            Thread.sleep(500);
        }
        long retries = runs(services).stream().filter(time -> time > third + CONTACT_MILLISECONDS).count();
        scene.record.add("runs=" + runs(services) + " retries after the third crash and contactMs: " + retries);
        boolean isSound = runs(services).size() >= 3;
        if (!isSound) throw new IllegalStateException("the request did not crash three servers");
        return retries <= ALLOWED_RETRIES;
    }

    /** Times of the runs of the request that crashes servers, in order. */
    private static List<Long> runs(List<Service> services) {
        List<Long> times = new ArrayList<>();
        services.forEach(service -> service.runs.stream().filter(run -> run.path.equals(PATH))
            .forEach(run -> times.add(run.milliseconds)));
        times.sort(null);
        return times;
    }
}
