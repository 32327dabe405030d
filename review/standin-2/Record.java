import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time in milliseconds since the start. */
final class Record {

	private static final long START_NANOS = System.nanoTime();

	private static PrintWriter out;

	private Record() {
	}

	static void open(Path file) {
		try {
			out = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static long nowMillis() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static synchronized void line(String text) {
		out.println(String.format("%7d %s", nowMillis(), text));
		out.flush();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
