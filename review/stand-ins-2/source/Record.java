import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What was sent, answered and run, with the time since the start in milliseconds; also kept for the check. */
final class Record {
    /** One line of the record. */
    record Line(long atMs, String what, Map<String, Object> fields) {
        String text(String name) {
            return String.valueOf(fields.get(name));
        }
    }

    private final long start = System.nanoTime();
    private final PrintWriter out;
    private final List<Line> lines = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized long add(String what, Object... fields) {
        Line line = new Line(now(), what, Json.of(fields));
        lines.add(line);
        out.println(String.format("%7d %s %s", line.atMs, what, Json.write(line.fields)));
        return line.atMs;
    }

    synchronized List<Line> lines(String what) {
        return lines.stream().filter(line -> line.what.equals(what)).toList();
    }
}
