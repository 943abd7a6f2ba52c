import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in order, with the time since the start of the script. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    long milliseconds() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        long now = milliseconds();
        out.printf("%4d.%03d %s%n", now / 1_000, now % 1_000, text);
    }
}
