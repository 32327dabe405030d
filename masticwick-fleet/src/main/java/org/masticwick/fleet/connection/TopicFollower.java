package org.masticwick.fleet.connection;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a topic of the shared log: the newest record of each key first, then each
 * further record. Starts anew when records it needs have expired.
 */
public final class TopicFollower {

	private static final Logger logger = LoggerFactory.getLogger(TopicFollower.class);

	/** The first wait after a failed call, in milliseconds. */
	private static final long MIN_BACKOFF_MILLIS = 100;

	/** The longest wait after failed calls, a part of what a change may take. */
	private static final long MAX_BACKOFF_MILLIS = 500;

	private final EventLoop eventLoop;

	private final SharedLog log;

	private final SharedTopic topic;

	private final Listener listener;

	private PollPolicy pace;

	private final Set<String> seenKeys = new HashSet<>();

	private long nextOffset = -1;

	private long firstPageOffset = -1;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	private boolean lost;

	private Future<?> paused;

	/**
	 * Creates a follower that has not begun.
	 * @param eventLoop the event loop
	 * @param log the shared log
	 * @param topic the topic
	 * @param pace how often and how long to ask
	 * @param listener hears of the records
	 */
	public TopicFollower(EventLoop eventLoop, SharedLog log, SharedTopic topic, PollPolicy pace, Listener listener) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.topic = topic;
		this.pace = pace;
		this.listener = listener;
	}

	/**
	 * Begins to follow.
	 */
	public void start() {
		load("");
	}

	/**
	 * Changes how often and how long to ask, from the next call on.
	 * @param next the new pace
	 */
	public void setPollPolicy(PollPolicy next) {
		this.pace = next;
		if (this.paused != null && this.paused.cancel(false)) {
			goOn();
		}
	}

	/**
	 * Returns whether the log answered the last call.
	 * @return whether it did
	 */
	public boolean isLogReachable() {
		return !this.lost && this.nextOffset >= 0;
	}

	/**
	 * Returns where the next record of the topic is expected.
	 * @return the offset, or a negative number if nothing was read yet
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	private void load(String afterKey) {
		if (afterKey.isEmpty()) {
			this.seenKeys.clear();
			this.firstPageOffset = -1;
		}
		this.log.readLatest(this.topic, afterKey).whenComplete(guarded(this::loaded));
	}

	private void loaded(LogPage page) {
		if (this.firstPageOffset < 0) {
			this.firstPageOffset = page.nextOffset();
		}
		page.records().forEach((each) -> this.seenKeys.add(each.key()));
		page.records().forEach(this.listener::onRecord);
		if (page.continuationKey() != null) {
			load(page.continuationKey());
			return;
		}
		this.nextOffset = this.firstPageOffset;
		this.listener.onLoaded(Set.copyOf(this.seenKeys));
		pauseOrGoOn();
	}

	private void pauseOrGoOn() {
		if (this.pace.pauseMillis() == 0) {
			goOn();
			return;
		}
		this.paused = this.eventLoop.schedule(this::goOn, this.pace.pauseMillis(), TimeUnit.MILLISECONDS);
	}

	private void goOn() {
		this.paused = null;
		if (this.pace.reload()) {
			load("");
		}
		else {
			read();
		}
	}

	private void read() {
		this.log.read(this.topic, this.nextOffset, this.pace.waitMillis()).whenComplete(guarded(this::readOn));
	}

	private void readOn(LogPage page) {
		page.records().forEach(this.listener::onRecord);
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		pauseOrGoOn();
	}

	private BiConsumer<LogPage, Throwable> guarded(Consumer<LogPage> next) {
		return (page, error) -> {
			if (error == null) {
				answered();
				next.accept(page);
			}
			else {
				failed(error);
			}
		};
	}

	private void answered() {
		this.backoffMillis = MIN_BACKOFF_MILLIS;
		if (this.lost) {
			this.lost = false;
			logger.atInfo().addKeyValue("topic", this.topic).log("Shared log answers again");
		}
	}

	private void failed(Throwable error) {
		Throwable cause = CallException.unwrap(error);
		if (!this.lost) {
			this.lost = true;
			logger.atWarn()
				.addKeyValue("topic", this.topic)
				.addKeyValue("reason", cause.getMessage())
				.addKeyValue("next_offset", this.nextOffset)
				.log("Shared log does not answer");
		}
		boolean expired = cause instanceof CallException call && call.code() == CallException.Code.EXPIRED;
		this.eventLoop.schedule(() -> retry(expired), this.backoffMillis, TimeUnit.MILLISECONDS);
		this.backoffMillis = Math.min(2 * this.backoffMillis, MAX_BACKOFF_MILLIS);
	}

	private void retry(boolean expired) {
		if (expired || this.nextOffset < 0) {
			load("");
		}
		else {
			read();
		}
	}

	/**
	 * Tells how often and how long to ask for records.
	 *
	 * @param waitMillis how long a call waits for a record, in milliseconds
	 * @param pauseMillis how long to wait between calls, in milliseconds
	 * @param reload whether to ask for the newest record of each key, instead of all
	 * records since the last call
	 */
	public record PollPolicy(long waitMillis, long pauseMillis, boolean reload) {

		/**
		 * Asks again at once, with calls that wait.
		 * @param waitMillis how long a call waits for a record, in milliseconds
		 * @return the pace
		 */
		public static PollPolicy longPoll(long waitMillis) {
			return new PollPolicy(waitMillis, 0, false);
		}

		/**
		 * Fetches records in batches.
		 * @param pauseMillis how long to wait between calls, in milliseconds
		 * @return the pace
		 */
		public static PollPolicy readPeriodically(long pauseMillis) {
			return new PollPolicy(0, pauseMillis, false);
		}

		/**
		 * Fetches the newest record of each key from time to time.
		 * @param pauseMillis how long to wait between calls, in milliseconds
		 * @return the pace
		 */
		public static PollPolicy reloadPeriodically(long pauseMillis) {
			return new PollPolicy(0, pauseMillis, true);
		}

	}

	/**
	 * Hears of the records of a topic.
	 */
	public interface Listener {

		/**
		 * Takes a record. Records may come twice and, while a topic is loaded, out of
		 * order.
		 * @param record the record
		 */
		void onRecord(KeyedRecord record);

		/**
		 * Takes note that the newest record of each key has been read.
		 * @param keys the keys that there are
		 */
		default void onLoaded(Set<String> keys) {
		}

	}

}
