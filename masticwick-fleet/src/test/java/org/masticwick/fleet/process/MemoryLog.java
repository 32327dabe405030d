package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.LogPage;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;

/**
 * A shared log in memory, which can be out of reach of some hosts.
 */
final class MemoryLog {

	private static final long POLL_MILLIS = 20;

	private final Map<SharedTopic, List<KeyedRecord>> topics = new EnumMap<>(SharedTopic.class);

	private final Map<Integer, JobPartition> jobPartitions = new HashMap<>();

	private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

	MemoryLog() {
		for (SharedTopic topic : SharedTopic.values()) {
			this.topics.put(topic, new ArrayList<>());
		}
	}

	void cutOff(String host) {
		this.cutOff.add(host);
	}

	void reach(String host) {
		this.cutOff.remove(host);
	}

	synchronized long append(SharedTopic topic, List<NewRecord> records) {
		List<KeyedRecord> all = this.topics.get(topic);
		long first = all.size();
		for (NewRecord each : records) {
			all.add(new KeyedRecord(all.size(), each.key(), (each.value().length > 0) ? each.value() : null));
		}
		return first;
	}

	private synchronized long appendAt(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd) {
		if (expectedEnd.isPresent() && expectedEnd.getAsLong() != this.topics.get(topic).size()) {
			throw new CallException(CallException.Code.CONFLICT, "The log has grown");
		}
		return append(topic, records);
	}

	private synchronized LogPage newest(SharedTopic topic) {
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		this.topics.get(topic).forEach((each) -> newest.put(each.key(), each));
		List<KeyedRecord> records = newest.values().stream().filter((each) -> each.value() != null).toList();
		return new LogPage(records, this.topics.get(topic).size(), null);
	}

	private synchronized LogPage from(SharedTopic topic, long offset) {
		List<KeyedRecord> all = this.topics.get(topic);
		return new LogPage(List.copyOf(all.subList((int) offset, all.size())), all.size(), null);
	}

	/**
	 * Returns the log as one host sees it.
	 * @param host the host
	 * @param eventLoop the event loop on which answers come
	 * @return the log
	 */
	View seenBy(String host, EventLoop eventLoop) {
		return new View(host, eventLoop);
	}

	private synchronized LogPage newestJobs(int partition) {
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		jobs(partition).records.forEach((each) -> newest.put(each.key(), each));
		List<KeyedRecord> records = newest.values().stream().filter((each) -> each.value() != null).toList();
		return new LogPage(records, jobs(partition).records.size(), null);
	}

	private synchronized Void appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
		JobPartition jobs = jobs(partition);
		if (epoch < jobs.epoch) {
			throw new CallException(CallException.Code.FENCED, "A higher epoch was there");
		}
		if (epoch > jobs.epoch) {
			jobs.epoch = epoch;
			jobs.sequence = sequence - 1;
		}
		if (sequence == jobs.sequence + 1) {
			records.forEach((each) -> jobs.records.add(
					new KeyedRecord(jobs.records.size(), each.key(), (each.value().length > 0) ? each.value() : null)));
			jobs.sequence = sequence;
		}
		return null;
	}

	private JobPartition jobs(int partition) {
		return this.jobPartitions.computeIfAbsent(partition, (number) -> new JobPartition());
	}

	private static final class JobPartition {

		private final List<KeyedRecord> records = new ArrayList<>();

		private long epoch;

		private long sequence;

	}

	/**
	 * The log as one host sees it.
	 */
	final class View implements SharedLog, JobLog {

		private final String host;

		private final EventLoop eventLoop;

		private View(String host, EventLoop eventLoop) {
			this.host = host;
			this.eventLoop = eventLoop;
		}

		private <T> CompletableFuture<T> answer(Supplier<T> call) {
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(() -> {
				if (MemoryLog.this.cutOff.contains(this.host)) {
					answer.completeExceptionally(new CallException(CallException.Code.TIMEOUT, "No answer"));
					return;
				}
				try {
					answer.complete(call.get());
				}
				catch (CallException ex) {
					answer.completeExceptionally(ex);
				}
			}, 2, TimeUnit.MILLISECONDS);
			return answer;
		}

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey) {
			return answer(() -> MemoryLog.this.newest(topic));
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis) {
			return answer(() -> from(topic, fromOffset)).thenCompose((page) -> {
				if (!page.records().isEmpty() || waitMillis <= POLL_MILLIS) {
					return CompletableFuture.completedFuture(page);
				}
				CompletableFuture<LogPage> later = new CompletableFuture<>();
				this.eventLoop.schedule(
						() -> read(topic, fromOffset, waitMillis - POLL_MILLIS)
							.whenComplete((next, error) -> settle(later, next, error)),
						POLL_MILLIS, TimeUnit.MILLISECONDS);
				return later;
			});
		}

		private static void settle(CompletableFuture<LogPage> later, LogPage page, Throwable error) {
			if (error != null) {
				later.completeExceptionally(error);
			}
			else {
				later.complete(page);
			}
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd) {
			return answer(() -> appendAt(topic, records, expectedEnd));
		}

		@Override
		public int partitionCount() {
			return 4;
		}

		@Override
		public CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey) {
			return answer(() -> MemoryLog.this.newestJobs(partition));
		}

		@Override
		public CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
			return answer(() -> MemoryLog.this.appendJobs(partition, epoch, sequence, records));
		}

	}

}
