import java.util.ArrayList;
import java.util.List;

/** LOST: an item's path has an encoded line feed; its batch job is accepted, and its items reach no engine. */
final class CaseItemPath {
    private static final int ITEMS = 4;

    /** Time limit of a trainer, and the time at no engine that the rule allows, in milliseconds. */
    private static final long STEP_MILLISECONDS = 12_000;
    private static final long ALLOWED_MILLISECONDS = 5_000;

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseItemPath::run);
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", Lots.configuration(1));
        List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            engines.add(new Engine(scene.store, "engine-" + number, scene.record));
        }
        new Service(scene.store, "plain-1", "plain", scene.record, request -> false);
        Entry first = scene.start("front-zone-a-1", "zone-a");
        Entry second = scene.start("front-zone-b-1", "zone-b");
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(4_000);
        List<String> items = new ArrayList<>();
        for (int number = 0; number < ITEMS; number++) {
            boolean isOdd = hasTrouble && number == 1;
            items.add(Lots.item("step", number, isOdd ? "/lots/note%0A1" : "/lots/note-" + number));
        }
        Http.Message accepted = scene.request(first, "step", "POST", "/lots/step", "key-1", Lots.lot(items));
        if (accepted == null || accepted.status() != 202) throw new IllegalStateException("the step was not accepted");
        long begin = scene.record.milliseconds();
        int listed = 0;
        while (scene.record.milliseconds() < begin + STEP_MILLISECONDS && listed < ITEMS) {
            Thread.sleep(500);
            listed = Lots.listed(scene.request(second, "", "GET", "/mulberrypin/lots/step?after=0", "key-1", ""));
        }
        int begun = 0;
        int lost = 0;
        for (int number = 0; number < ITEMS; number++) {
            String id = "step-" + number;
            boolean hasRun = engines.stream().anyMatch(engine -> engine.runs.stream().anyMatch(run -> run.id.equals(id)));
            long waited = scene.record.milliseconds() - begin;
            if (hasRun) begun++;
            if (!hasRun && waited > ALLOWED_MILLISECONDS) {
                lost++;
                scene.record.add("LOST: item " + id + " was at no engine for " + waited + " ms; no engine was half full");
            }
        }
        scene.record.add("listed=" + listed + " of " + ITEMS + " begun=" + begun + " at no engine=" + lost);
        scene.request(first, "", "DELETE", "/mulberrypin/lots/step", "key-1", "");
        if (begun == 0) throw new IllegalStateException("no item of the step began, so that the rule says nothing");
        return lost == 0;
    }
}
