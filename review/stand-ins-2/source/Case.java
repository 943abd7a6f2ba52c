import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    private Case() {}

    /** Plays the case with a deployment; returns whether the rule was broken, or fails if it could not be played. */
    interface Body {
        boolean play(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    /** Arguments: the root of the repository, the folder for the record. */
    static void run(String[] arguments, int instances, Body body) {
        int status = 2;
        try {
            Record record = new Record(Path.of(arguments[1], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.add("case", "trouble", trouble);
            try (Deployment deployment = new Deployment(Path.of(arguments[0]), record, instances)) {
                status = body.play(deployment, record, trouble) ? 1 : 0;
            }
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    /** Fails the case, which then counts as one that could not run. */
    static void require(boolean condition, String what) {
        if (!condition) throw new IllegalStateException("not as needed for the case: " + what);
    }

    /** A submission of [items] tasks in groups of four, whose identifiers begin with [prefix]. */
    static byte[] submission(String route, String prefix, int items) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            list.add(Json.of("id", prefix + String.format("%04x", i), "path", route + "3/91c4",
                "headers", Json.of("Mulberrypin-Model", "sorter", "Mulberrypin-Token-Count", "40,100",
                    "Mulberrypin-Prompt-Prefix", "9c2e41:30,5d07b8:10"),
                "body", Base64.getEncoder().encodeToString("text".getBytes()), "tokens", 140, "group", "g" + i / 4));
        }
        return Json.write(Json.of("step", 0, "model", "sorter", "minVersion", 1, "targetCount", items / 4, "items", list))
            .getBytes();
    }
}
