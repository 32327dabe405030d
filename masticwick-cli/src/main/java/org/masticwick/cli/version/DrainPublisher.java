package org.masticwick.cli.version;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.SortedSet;
import java.util.random.RandomGenerator;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.Backoff;
import org.masticwick.platform.LoadedLog;
import org.masticwick.platform.NotePublisher;
import org.masticwick.platform.PlatformClient;
import org.masticwick.platform.PlatformException;
import org.masticwick.platform.PublishResult;
import org.masticwick.platform.SiteLogReader;

/**
 * Drains failure domains and returns them to service by release notes against the active
 * version. A note that conflicts with one published meanwhile is written again against
 * the version of that one.
 */
public final class DrainPublisher {

	private static final int MAX_NOTE_COUNT = 16;

	private static final Duration MIN_BACKOFF = Duration.ofMillis(50);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

	private final SiteLogReader reader;

	private final NotePublisher publisher;

	private final TimeSource time;

	private final RandomGenerator random;

	private final Backoff backoff;

	/**
	 * Creates a publisher.
	 * @param platform the platform that keeps the log
	 * @param time the clock
	 * @param random the source of note ids and of the jitter of retries
	 */
	public DrainPublisher(PlatformClient platform, TimeSource time, RandomGenerator random) {
		this.reader = new SiteLogReader(platform);
		this.publisher = new NotePublisher(platform, time, random);
		this.time = time;
		this.random = random;
		this.backoff = new Backoff(MIN_BACKOFF, MAX_BACKOFF, random);
	}

	/**
	 * Publishes a change of the drained domains. Has no effect if the active version
	 * already has the change, so the call can be repeated.
	 * @param change the change
	 * @param timeout how long to try
	 * @return the result
	 * @throws UnknownDomainException if no capacity of the active version names the
	 * domain
	 * @throws MasticwickException with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the
	 * active version could not be read in time; nothing was published
	 */
	public DrainResult publish(DrainChange change, Duration timeout) {
		long deadlineNanos = this.time.nanoTime() + timeout.toNanos();
		SiteState state = loadState(deadlineNanos);
		DrainResult result = publishOnce(change, state, deadlineNanos);
		for (int count = 1; count < MAX_NOTE_COUNT && result.status() == PublishResult.Status.REJECTED
				&& this.time.nanoTime() < deadlineNanos; count++) {
			sleep(this.backoff.delay(0));
			SiteState newState = loadState(deadlineNanos);
			if (newState.version().number() == state.version().number()) {
				// The reason of the rejection is not a newer version, so it would repeat.
				return result;
			}
			state = newState;
			result = publishOnce(change, state, deadlineNanos);
		}
		return result;
	}

	private DrainResult publishOnce(DrainChange change, SiteState state, long deadlineNanos) {
		SortedSet<String> activeDomains = state.version().rules().drainedDomains();
		String noteId = newNoteId(change, state);
		Optional<ReleaseNote> note = change.note(noteId, state.version());
		if (note.isEmpty()) {
			return new DrainResult(PublishResult.Status.ACCEPTED, "", state.version().number(), activeDomains, "");
		}
		PublishResult result = this.publisher.publish(note.get(),
				Duration.ofNanos(Math.max(1, deadlineNanos - this.time.nanoTime())));
		return new DrainResult(result.status(), noteId, result.version(), change.apply(activeDomains), result.reason());
	}

	/**
	 * Creates an id that no other note has, also if two operators request the same change
	 * against the same version.
	 * @param change the change
	 * @param state the state that the note is written against
	 * @return the id
	 */
	private String newNoteId(DrainChange change, SiteState state) {
		return (change.drain() ? "drain-" : "undrain-") + state.version().number() + "-"
				+ HexFormat.of().toHexDigits(this.random.nextLong());
	}

	private SiteState loadState(long deadlineNanos) {
		for (int failureCount = 0;; failureCount++) {
			try {
				return this.reader.load()
					.map(LoadedLog::finalState)
					.orElseThrow(() -> new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE,
							"Records of the log have expired, and it contains no snapshot yet", false, null));
			}
			catch (PlatformException ex) {
				Duration delay = this.backoff.delay(failureCount);
				if (this.time.nanoTime() + delay.toNanos() >= deadlineNanos) {
					throw new MasticwickException(ErrorCode.PLATFORM_UNAVAILABLE,
							"The active version could not be read, and nothing was published: " + ex.getMessage(), ex);
				}
				sleep(delay);
			}
		}
	}

	private static void sleep(Duration delay) {
		try {
			Thread.sleep(delay.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new MasticwickException(ErrorCode.INTERNAL, "Interrupted", ex);
		}
	}

}
