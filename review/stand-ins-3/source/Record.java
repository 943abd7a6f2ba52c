import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in order, with the time since the start of the script. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path folder) throws IOException {
        // Half a character becomes "?"; a writer of Files would fail and leave out all that follows.
        out = new PrintWriter(
            new OutputStreamWriter(Files.newOutputStream(folder.resolve("record.txt")), StandardCharsets.UTF_8), true);
    }

    long milliseconds() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        long now = milliseconds();
        out.printf("%4d.%03d %s%n", now / 1_000, now % 1_000, text);
    }
}
