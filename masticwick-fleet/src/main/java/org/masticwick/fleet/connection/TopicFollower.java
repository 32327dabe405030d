package org.masticwick.fleet.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a topic of the log: loads the latest record of each key, then reads each
 * further record. Loads the topic again if the next records have expired.
 */
public final class TopicFollower {

	private static final Logger logger = LoggerFactory.getLogger(TopicFollower.class);

	/** The delay after the first failed call. */
	private static final long MIN_BACKOFF_MILLIS = 100;

	/**
	 * The longest delay after failed calls. It counts against the time in which a change
	 * must reach all hosts.
	 */
	private static final long MAX_BACKOFF_MILLIS = 500;

	private final EventLoop eventLoop;

	private final SharedLog log;

	private final SharedTopic topic;

	private final Listener listener;

	private PollPolicy pollPolicy;

	private final Set<String> loadedKeys = new HashSet<>();

	/** The offset of the newest delivered record, by key. */
	private final Map<String, Long> newestOffsets = new HashMap<>();

	private long nextOffset = -1;

	private long firstPageOffset = -1;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	private boolean lastCallFailed;

	private boolean loadNext;

	private Future<?> scheduledFetch;

	/**
	 * Creates a follower that has not started.
	 * @param eventLoop the event loop on which the follower and its listener run
	 * @param log the log
	 * @param topic the topic to follow
	 * @param pollPolicy how to poll the log
	 * @param listener receives the records
	 */
	public TopicFollower(EventLoop eventLoop, SharedLog log, SharedTopic topic, PollPolicy pollPolicy,
			Listener listener) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.topic = topic;
		this.pollPolicy = pollPolicy;
		this.listener = listener;
	}

	/**
	 * Starts to follow the topic.
	 */
	public void start() {
		load("");
	}

	/**
	 * Sets the poll policy from the next call on. A pause between calls is cut short. If
	 * the topic was loaded periodically until now, it is loaded once more, as that is
	 * shorter than all records since the last time.
	 * @param newPolicy the new policy
	 */
	public void setPollPolicy(PollPolicy newPolicy) {
		this.loadNext |= this.pollPolicy.reload();
		this.pollPolicy = newPolicy;
		if (this.scheduledFetch != null && this.scheduledFetch.cancel(false)) {
			fetch();
		}
	}

	/**
	 * Returns whether the topic has been loaded and the last completed call to the log
	 * succeeded.
	 * @return {@code true} if so
	 */
	public boolean isLogReachable() {
		return !this.lastCallFailed && this.nextOffset >= 0;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset, or a negative number until the topic is loaded
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	private void load(String afterKey) {
		if (afterKey.isEmpty()) {
			this.loadedKeys.clear();
			this.firstPageOffset = -1;
		}
		this.log.readLatest(this.topic, afterKey).whenComplete(onReply(this::onLoadedPage));
	}

	private void onLoadedPage(LogPage page) {
		if (this.firstPageOffset < 0) {
			this.firstPageOffset = page.nextOffset();
		}
		page.records().forEach((each) -> this.loadedKeys.add(each.key()));
		page.records().forEach(this::deliver);
		if (page.continuationKey() != null) {
			load(page.continuationKey());
			return;
		}
		this.nextOffset = this.firstPageOffset;
		this.loadNext = false;
		this.newestOffsets.keySet().retainAll(this.loadedKeys);
		this.listener.onLoaded(Set.copyOf(this.loadedKeys));
		notifyUpToDate();
		scheduleFetch();
	}

	// A load overtakes the records that are read after it, which must not undo it. An
	// unexpected error of the listener must not end the following of the topic.
	private void deliver(KeyedRecord keyedRecord) {
		long newestOffset = this.newestOffsets.getOrDefault(keyedRecord.key(), -1L);
		if (keyedRecord.offset() < newestOffset) {
			return;
		}
		this.newestOffsets.put(keyedRecord.key(), keyedRecord.offset());
		try {
			this.listener.onRecord(keyedRecord);
		}
		catch (RuntimeException ex) {
			logger.atError()
				.addKeyValue("topic", this.topic)
				.addKeyValue("key", keyedRecord.key())
				.addKeyValue("offset", keyedRecord.offset())
				.setCause(ex)
				.log("Applying a record of the topic failed; it is skipped");
		}
	}

	private void notifyUpToDate() {
		try {
			this.listener.onUpToDate(this.nextOffset);
		}
		catch (RuntimeException ex) {
			logger.atError()
				.addKeyValue("topic", this.topic)
				.addKeyValue("next_offset", this.nextOffset)
				.setCause(ex)
				.log("Applying the records of the topic failed; following the topic continues");
		}
	}

	private void scheduleFetch() {
		if (this.pollPolicy.pauseMillis() == 0) {
			fetch();
			return;
		}
		this.scheduledFetch = this.eventLoop.schedule(this::fetch, this.pollPolicy.pauseMillis(),
				TimeUnit.MILLISECONDS);
	}

	private void fetch() {
		this.scheduledFetch = null;
		if (this.pollPolicy.reload() || this.loadNext) {
			load("");
		}
		else {
			read();
		}
	}

	private void read() {
		this.log.read(this.topic, this.nextOffset, this.pollPolicy.waitMillis())
			.whenComplete(onReply(this::onReadPage));
	}

	private void onReadPage(LogPage page) {
		page.records().forEach(this::deliver);
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		notifyUpToDate();
		scheduleFetch();
	}

	private BiConsumer<LogPage, Throwable> onReply(Consumer<LogPage> onPage) {
		return (page, error) -> {
			if (error == null) {
				onCallSucceeded();
				onPage.accept(page);
			}
			else {
				onCallFailed(error);
			}
		};
	}

	private void onCallSucceeded() {
		this.backoffMillis = MIN_BACKOFF_MILLIS;
		if (this.lastCallFailed) {
			this.lastCallFailed = false;
			logger.atInfo()
				.addKeyValue("topic", this.topic)
				.log("Log is reachable again; following the topic continues");
		}
	}

	private void onCallFailed(Throwable error) {
		Throwable cause = CallException.unwrap(error);
		if (!this.lastCallFailed) {
			this.lastCallFailed = true;
			logger.atWarn()
				.addKeyValue("topic", this.topic)
				.addKeyValue("reason", cause.getMessage())
				.addKeyValue("next_offset", this.nextOffset)
				.log("Reading the topic from the log failed; retrying with backoff");
		}
		boolean expired = cause instanceof CallException call && call.code() == CallException.Code.EXPIRED;
		this.eventLoop.schedule(() -> retry(expired), this.backoffMillis, TimeUnit.MILLISECONDS);
		this.backoffMillis = Math.min(2 * this.backoffMillis, MAX_BACKOFF_MILLIS);
	}

	private void retry(boolean expired) {
		if (expired || this.nextOffset < 0 || this.loadNext) {
			load("");
		}
		else {
			read();
		}
	}

	/**
	 * How a follower polls the log.
	 *
	 * @param waitMillis how long the log may delay its reply while there is no record, in
	 * milliseconds
	 * @param pauseMillis the pause between calls, in milliseconds
	 * @param reload whether to load the latest record of each key again, instead of
	 * reading all records since the last call
	 */
	public record PollPolicy(long waitMillis, long pauseMillis, boolean reload) {

		/**
		 * Creates a policy of long polling: each call waits for a record, and the next
		 * one follows at once.
		 * @param waitMillis how long the log may delay its reply while there is no
		 * record, in milliseconds
		 * @return the policy
		 */
		public static PollPolicy longPoll(long waitMillis) {
			return new PollPolicy(waitMillis, 0, false);
		}

		/**
		 * Creates a policy that reads the records since the last call in batches.
		 * @param pauseMillis the pause between calls, in milliseconds
		 * @return the policy
		 */
		public static PollPolicy readPeriodically(long pauseMillis) {
			return new PollPolicy(0, pauseMillis, false);
		}

		/**
		 * Creates a policy that periodically loads the latest record of each key, which
		 * costs less than reading all records of a topic whose keys change often.
		 * @param pauseMillis the pause between loads, in milliseconds
		 * @return the policy
		 */
		public static PollPolicy reloadPeriodically(long pauseMillis) {
			return new PollPolicy(0, pauseMillis, true);
		}

	}

	/**
	 * Receives the records of a topic.
	 */
	public interface Listener {

		/**
		 * Called for each record. A record may be delivered more than once, but not after
		 * a newer one of its key.
		 * @param record the record
		 */
		void onRecord(KeyedRecord record);

		/**
		 * Called when the latest record of each key has been delivered.
		 * @param keys all keys of the topic
		 */
		default void onLoaded(Set<String> keys) {
		}

		/**
		 * Called after each load, and after the records of each further read.
		 * @param nextOffset the offset before which all records that are the newest of
		 * their key have been delivered
		 */
		default void onUpToDate(long nextOffset) {
		}

	}

}
