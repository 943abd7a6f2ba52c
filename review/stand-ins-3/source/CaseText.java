import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** MIXED: long texts with characters beyond the Basic Multilingual Plane are listed with other characters. */
final class CaseText {
    private static final int ITEMS = 4;

    /** Events and their size in bytes; the sheet has up to 176 events with 260 bytes on average and 1,500 at most. */
    private static final int EVENTS = 100;
    private static final int CHARACTERS = 130;

    public static void main(String[] arguments) {
        Scene.play(arguments, CaseText::run);
    }

    /** The items' texts begin with none to three letters, so that characters lie at even and at odd places. */
    private static String data(String id, long event, boolean hasTrouble) {
        String begin = event == 1 ? "a".repeat(id.charAt(id.length() - 1) - '0') : "";
        return begin + (hasTrouble ? "\uD83C\uDF32" : "ab").repeat(CHARACTERS);
    }

    private static boolean run(Scene scene, boolean hasTrouble) throws Exception {
        scene.store.put("op", "config", Lots.configuration(1));
        for (int number = 1; number <= 2; number++) {
            Engine engine = new Engine(scene.store, "engine-" + number, scene.record);
            engine.events = EVENTS;
            engine.pauseMilliseconds = 20;
            engine.data = (id, event) -> data(id, event, hasTrouble);
        }
        new Service(scene.store, "plain-1", "plain", scene.record, request -> false);
        Entry first = scene.start("front-zone-a-1", "zone-a");
        Entry second = scene.start("front-zone-b-1", "zone-b");
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(4_000);
        List<String> items = new ArrayList<>();
        for (int number = 0; number < ITEMS; number++) items.add(Lots.item("step", number, "/lots/" + number));
        Http.Message accepted = scene.request(first, "step", "POST", "/lots/step", "key-1", Lots.lot(items));
        if (accepted == null || accepted.status() != 202) throw new IllegalStateException("the step was not accepted");
        Http.Message page = null;
        for (int turn = 0; turn < 24 && Lots.listed(page) < ITEMS; turn++) {
            Thread.sleep(500);
            page = scene.request(second, "", "GET", "/mulberrypin/lots/step?after=0", "key-1", "");
        }
        if (Lots.listed(page) < ITEMS) throw new IllegalStateException("not all results were listed");
        int broken = 0;
        for (Map<String, Object> result : Json.objects(Json.object(page.text()).get("results"))) {
            String id = (String) result.get("id");
            StringBuilder whole = new StringBuilder();
            for (long event = 1; event <= EVENTS; event++) {
                whole.append(event > 1 ? "\n" : "").append(data(id, event, hasTrouble));
            }
            String text = (String) result.get("text");
            if (!"completed".equals(result.get("state")) || text.contentEquals(whole)) continue;
            broken++;
            int place = 0;
            while (place < Math.min(text.length(), whole.length()) && text.charAt(place) == whole.charAt(place)) place++;
            scene.record.add("MIXED: the text of " + id + " is completed and differs from place " + place + " on: "
                + Integer.toHexString(text.charAt(place)) + " for " + Integer.toHexString(whole.charAt(place))
                + ", length " + text.length() + " for " + whole.length());
        }
        scene.record.add("listed=" + ITEMS + " with another text=" + broken);
        return broken == 0;
    }
}
