import java.util.List;
import java.util.Map;

/** A route is added while the owner's open connections to the store are silent; a job of that route is accepted elsewhere. */
final class CaseRoute {
    private static final int ITEMS = 16;

    private static Map<String, Object> rollout(String name, String prefix) {
        return Configurations.route(name, prefix, "rollout", "sorter-lm", 10000, 500, 3, false,
            "resultTargetMs", 7500, "queueTtlS", 40);
    }

    public static void main(String[] arguments) {
        Case.run(arguments, 3, CaseRoute::play);
    }

    private static boolean play(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.put("op", "config", Configurations.configuration(1, List.of(rollout("sort", "/sort/")),
            List.of(Configurations.KEY)));
        for (int i = 1; i <= 3; i++) d.backend("e-" + i, "sorter-lm", "sorter", 8, 20);
        d.startAll();
        Thread.sleep(5_000);

        // The first job shows which instance runs the jobs of the model.
        String first = "00000000000000a1";
        d.send(d.instances.get(0).frontAddress(), "POST", "/sort/", first, Configurations.KEY, 0,
            Case.submission("/sort/", "aa", 8), "");
        long limit = record.now() + 10_000;
        while (!isComplete(d, first)) {
            Case.require(record.now() < limit, "a first job that is completed");
            Thread.sleep(5);
        }
        long complete = record.now();
        Deployment.Instance owner = ownerOf(d, first);
        Deployment.Instance other = d.instances.stream().filter(i -> i != owner).findFirst().orElseThrow();
        record.add("owner", "instance", owner.name);

        // The operator's row changes just before the connections go silent, so that the call that waits for the next
        // change of the operator's rows is younger than the one that waits for jobs.
        Thread.sleep(Math.max(0, complete + 1_250 - record.now()));
        d.store.put("op", "version/other", Json.of("model", "other", "version", 2));
        Thread.sleep(50);
        if (trouble) record.add("silenced", "instance", owner.name, "connections", owner.storeLink.silence());
        Thread.sleep(100);
        d.store.put("op", "config", Configurations.configuration(2,
            List.of(rollout("sort", "/sort/"), rollout("bark", "/bark/")), List.of(Configurations.KEY)));
        record.add("acknowledged", "configuration", 2);
        Thread.sleep(200);

        String second = "00000000000000b1";
        Http.Message accepted = d.send(other.frontAddress(), "POST", "/bark/", second, Configurations.KEY, 0,
            Case.submission("/bark/", "bb", ITEMS), "");
        Case.require(accepted != null && accepted.status() == 202, "a second job that is accepted");
        int errored = 0;
        int completed = 0;
        long end = record.now() + 12_000;
        while (record.now() < end && errored + completed < ITEMS) {
            Http.Message page = d.send(other.frontAddress(), "GET", "/mulberrypin/lots/" + second + "?after="
                + (errored + completed), "00000000000000c1", Configurations.KEY, 0, new byte[0],
                "Mulberrypin-Wait-Ms: 1000\r\n");
            if (page != null && page.status() == 200) {
                for (Object entry : (List<?>) Json.object(page.text()).get("results")) {
                    Map<?, ?> result = (Map<?, ?>) entry;
                    record.add("result", "item", result.get("id"), "state", result.get("state"), "text", result.get("text"));
                    if ("errored".equals(result.get("state"))) errored++;
                    else completed++;
                }
            }
            Thread.sleep(300);
        }
        System.out.println("errored=" + errored + " completed=" + completed);
        record.add("total", "errored", errored, "completed", completed);
        return errored > 0;
    }

    private static boolean isComplete(Deployment d, String job) {
        String row = d.store.read("jobs").get(job);
        return row != null && Boolean.TRUE.equals(Json.object(row).get("complete"));
    }

    private static Deployment.Instance ownerOf(Deployment d, String job) {
        Object name = Json.object(d.store.read("jobs").get(job)).get("owner");
        return d.instances.stream().filter(i -> i.name.equals(name)).findFirst().orElseThrow();
    }
}
