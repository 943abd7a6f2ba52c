import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The store performs some writes without an answer while trainers submit small jobs. */
final class CaseTwice {
    private static final int ITEMS = 8;
    private static final int TRAINERS = 6;
    private static final int PERIODS = 3;
    private static final double LOST_SHARE = 0.3;
    private static final long LOST_MS = 4_500;
    private static final long CALM_MS = 3_000;

    public static void main(String[] arguments) {
        Case.run(arguments, 2, CaseTwice::play);
    }

    private static boolean play(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.put("op", "config", Configurations.configuration(1, List.of(
            Configurations.route("sort", "/sort/", "rollout", "sorter-lm", 10000, 500, 3, false,
                "resultTargetMs", 7500, "queueTtlS", 40)), List.of(Configurations.KEY)));
        for (int i = 1; i <= 6; i++) {
            Servers.Backend engine = d.backend("e-" + i, "sorter-lm", "sorter", 8, 20);
            engine.length = id -> id.endsWith("7") ? 24 : 4;
        }
        d.startAll();
        Thread.sleep(5_000);
        List<Thread> trainers = new ArrayList<>();
        Set<String> jobs = ConcurrentHashMap.newKeySet();
        long end = record.now() + PERIODS * (LOST_MS + CALM_MS);
        for (int trainer = 0; trainer < TRAINERS; trainer++) {
            int t = trainer;
            trainers.add(Http.daemon("trainer", () -> {
                for (int step = 0; record.now() < end; step++) {
                    String job = String.format("%08x%08x", 0xa0 + t, step);
                    byte[] body = Case.submission("/sort/", String.format("%04x%08x", 0xa0 + t, step), ITEMS);
                    for (int attempt = 0; attempt < 4; attempt++) {
                        Http.Message answer = d.send(d.instances.get((t + step + attempt) % 2).frontAddress(), "POST",
                            "/sort/", job, Configurations.KEY, 0, body, "");
                        if (answer != null && answer.status() == 202) {
                            jobs.add(job);
                            break;
                        }
                    }
                    Thread.sleep(100);
                }
            }));
        }
        for (int period = 0; trouble && period < PERIODS; period++) {
            record.add("answers of writes lost", "share", LOST_SHARE);
            d.store.fate = request -> request.path().endsWith("/rows-tx") && Math.random() < LOST_SHARE
                ? Store.Fate.DONE_UNANSWERED : Store.Fate.SERVED;
            Thread.sleep(LOST_MS);
            d.store.fate = request -> Store.Fate.SERVED;
            record.add("answers of writes no longer lost");
            Thread.sleep(CALM_MS);
        }
        for (Thread trainer : trainers) trainer.join();
        Thread.sleep(8_000);
        int twice = 0;
        int missing = 0;
        for (String job : jobs) {
            Map<String, Integer> positions = new HashMap<>();
            int next = 0;
            while (true) {
                Http.Message page = d.send(d.instances.get(0).frontAddress(), "GET", "/mulberrypin/lots/" + job
                    + "?after=" + next, "c" + job.substring(1), Configurations.KEY, 0, new byte[0], "");
                if (page == null || page.status() != 200) continue;
                List<?> results = (List<?>) Json.object(page.text()).get("results");
                if (results.isEmpty()) break;
                for (Object entry : results) {
                    String item = (String) ((Map<?, ?>) entry).get("id");
                    Integer earlier = positions.put(item, next);
                    if (earlier != null) {
                        twice++;
                        record.add("at two positions", "job", job, "item", item, "positions", List.of(earlier, next));
                    }
                    next++;
                }
            }
            if (positions.size() < ITEMS) missing++;
        }
        System.out.println("jobs=" + jobs.size() + " twice=" + twice + " incomplete=" + missing);
        record.add("total", "jobs", jobs.size(), "items at two positions", twice, "incomplete jobs", missing);
        Case.require(!jobs.isEmpty(), "a job that is accepted");
        return twice > 0;
    }
}
