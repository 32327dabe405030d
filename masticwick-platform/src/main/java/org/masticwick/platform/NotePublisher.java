package org.masticwick.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.core.version.Verdict;

/**
 * Publishes release notes: appends a note under its id until it stands in the log, then
 * reads the log back for the verdict. A note that was appended twice has one verdict.
 */
public final class NotePublisher {

	private static final Logger LOG = LoggerFactory.getLogger(NotePublisher.class);

	private static final Duration MIN_BACKOFF = Duration.ofMillis(50);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

	private final PlatformClient platform;

	private final SiteLogReader reader;

	private final TimeSource time;

	private final Backoff backoff;

	/**
	 * Creates a publisher.
	 * @param platform where the log is
	 * @param time the clock
	 * @param random the source of jitter
	 */
	public NotePublisher(PlatformClient platform, TimeSource time, RandomGenerator random) {
		this.platform = platform;
		this.reader = new SiteLogReader(platform);
		this.time = time;
		this.backoff = new Backoff(MIN_BACKOFF, MAX_BACKOFF, random);
	}

	/**
	 * Publishes a note and waits for its verdict.
	 * @param note the note
	 * @param timeout how long to try
	 * @return the verdict, or pending if it could not be read back in time
	 */
	public PublishResult publish(ReleaseNote note, Duration timeout) {
		long startNanos = this.time.nanoTime();
		String reason = "nothing was tried";
		boolean appended = false;
		int failureCount = 0;
		while (this.time.nanoTime() - startNanos < timeout.toNanos()) {
			try {
				if (!appended) {
					this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encode(note)));
					appended = true;
				}
				Optional<PublishResult> result = verdict(note);
				if (result.isPresent()) {
					return result.get();
				}
				reason = "the log holds neither the note nor a snapshot to start from";
				appended = false;
			}
			catch (PlatformException ex) {
				LOG.debug("Publishing {} failed", note.id(), ex);
				reason = ex.getMessage();
			}
			if (!pause(failureCount++)) {
				break;
			}
		}
		return PublishResult.pending(reason);
	}

	/**
	 * Reads the verdict on a note from the log.
	 * @param note the note
	 * @return the verdict; empty if the log holds none
	 * @throws PlatformException if the platform did not answer
	 */
	public Optional<PublishResult> verdict(ReleaseNote note) {
		return this.reader.load().map(LoadedLog::finalState).flatMap((state) -> find(state, note));
	}

	private static Optional<PublishResult> find(SiteState state, ReleaseNote note) {
		return Optional.ofNullable(state.verdicts().get(note.id())).map((verdict) -> result(verdict, note));
	}

	private static PublishResult result(Verdict verdict, ReleaseNote note) {
		if (!verdict.appliesTo(note)) {
			return new PublishResult(PublishResult.Status.REJECTED, verdict.version(),
					"the id " + note.id() + " was used by another note");
		}
		PublishResult.Status status = (verdict.accepted()) ? PublishResult.Status.ACCEPTED
				: PublishResult.Status.REJECTED;
		return new PublishResult(status, verdict.version(), verdict.reason());
	}

	private boolean pause(int failureCount) {
		try {
			Thread.sleep(this.backoff.delay(failureCount).toMillis());
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
