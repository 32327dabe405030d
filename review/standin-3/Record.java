package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * The file that tells what was sent, answered and run, with times in seconds.
 */
final class Record {

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String text) {
		this.out.println(String.format(Locale.ROOT, "%8.3f  %s", Clock.nowMillis() / 1_000.0, text));
	}

	synchronized void close() {
		this.out.close();
	}

}
