import java.util.List;

/** LOST: a batch job of a route without keys is accepted, and its trainer then gets 404 for it. */
final class CasePublic {
    private static final long SETTLE_MILLISECONDS = 1_000;

    public static void main(String[] arguments) {
        Scene.play(arguments, CasePublic::run);
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", Lots.configuration(1));
        new Engine(scene.store, "engine-1", scene.record);
        new Engine(scene.store, "engine-2", scene.record);
        new Service(scene.store, "plain-1", "plain", scene.record, request -> false);
        Entry first = scene.start("front-zone-a-1", "zone-a");
        Entry second = scene.start("front-zone-b-1", "zone-b");
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(4_000);
        String added = Lots.route("samples", "/samples/", "rollout", "engines", 3, hasTrouble);
        scene.store.put("op", "config", Lots.configuration(2, added));
        scene.record.add("configuration 2 acknowledged: adds the route /samples/, public=" + hasTrouble);
        Thread.sleep(3_000);
        List<String> items = List.of(Lots.item("step", 0, "/samples/0"), Lots.item("step", 1, "/samples/1"));
        Http.Message accepted = scene.request(first, "step", "POST", "/samples/step", "key-1", Lots.lot(items));
        if (accepted == null || accepted.status() != 202) throw new IllegalStateException("the step was not accepted");
        long begin = scene.record.milliseconds();
        int answers = 0;
        int lost = 0;
        for (int turn = 0; turn < 12; turn++) {
            Thread.sleep(500);
            Entry entry = turn % 2 == 0 ? second : first;
            long asked = scene.record.milliseconds();
            Http.Message page = scene.request(entry, "", "GET", "/mulberrypin/lots/step?after=0", "key-1", "");
            if (page != null) answers++;
            boolean isDenied = page != null && (page.status() == 404 || page.status() == 410);
            if (isDenied && asked > begin + SETTLE_MILLISECONDS) {
                lost++;
                scene.record.add("LOST: " + page.status() + " for an accepted batch job, " + (asked - begin)
                    + " ms after its 202");
            }
        }
        if (answers == 0) throw new IllegalStateException("no reading was answered");
        return lost == 0;
    }
}
