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
 * An in-memory log, which can be made unreachable for single hosts.
 */
final class InMemoryLog {

	private static final long POLL_MILLIS = 20;

	private final Map<SharedTopic, List<KeyedRecord>> topics = new EnumMap<>(SharedTopic.class);

	private final Map<Integer, JobPartition> jobPartitions = new HashMap<>();

	private final Map<String, Long> appendDelaysMillis = new ConcurrentHashMap<>();

	private final Map<String, Long> endpointLoadDelaysMillis = new ConcurrentHashMap<>();

	private final Map<String, Integer> endpointLoadCounts = new ConcurrentHashMap<>();

	private final Set<SharedTopic> unreadableTopics = ConcurrentHashMap.newKeySet();

	private final Set<String> unreachableFrom = ConcurrentHashMap.newKeySet();

	private volatile boolean refusingJobReads;

	InMemoryLog() {
		for (SharedTopic topic : SharedTopic.values()) {
			this.topics.put(topic, new ArrayList<>());
		}
	}

	void disconnect(String hostName) {
		this.unreachableFrom.add(hostName);
	}

	/**
	 * Delays the appends of a host.
	 * @param hostName the name of the host
	 * @param delayMillis the delay in milliseconds
	 */
	void delayAppends(String hostName, long delayMillis) {
		this.appendDelaysMillis.put(hostName, delayMillis);
	}

	/**
	 * Delays the loads of the endpoint list by a host.
	 * @param hostName the name of the host
	 * @param delayMillis the delay in milliseconds
	 */
	void delayEndpointLoads(String hostName, long delayMillis) {
		this.endpointLoadDelaysMillis.put(hostName, delayMillis);
	}

	int endpointLoadCount(String hostName) {
		return this.endpointLoadCounts.getOrDefault(hostName, 0);
	}

	/**
	 * Refuses to read a topic for all hosts.
	 * @param topic the topic
	 */
	void refuseReads(SharedTopic topic) {
		this.unreadableTopics.add(topic);
	}

	void acceptReads(SharedTopic topic) {
		this.unreadableTopics.remove(topic);
	}

	/**
	 * Refuses to read stored jobs for all hosts.
	 */
	void refuseJobReads() {
		this.refusingJobReads = true;
	}

	void acceptJobReads() {
		this.refusingJobReads = false;
	}

	void reconnect(String hostName) {
		this.unreachableFrom.remove(hostName);
	}

	synchronized long append(SharedTopic topic, List<NewRecord> records) {
		List<KeyedRecord> topicRecords = this.topics.get(topic);
		long firstOffset = topicRecords.size();
		for (NewRecord newRecord : records) {
			topicRecords.add(new KeyedRecord(topicRecords.size(), newRecord.key(),
					(newRecord.value().length > 0) ? newRecord.value() : null));
		}
		return firstOffset;
	}

	private synchronized long appendExpecting(SharedTopic topic, List<NewRecord> records,
			OptionalLong expectedEndOffset) {
		if (expectedEndOffset.isPresent() && expectedEndOffset.getAsLong() != this.topics.get(topic).size()) {
			throw new CallException(CallException.Code.CONFLICT, "The log does not end at the expected offset");
		}
		return append(topic, records);
	}

	List<KeyedRecord> latest(SharedTopic topic) {
		return newest(topic).records();
	}

	private LogPage read(SharedTopic topic, Supplier<LogPage> page) {
		if (this.unreadableTopics.contains(topic)) {
			throw new CallException(CallException.Code.TIMEOUT, "The topic can't be read");
		}
		return page.get();
	}

	private synchronized LogPage newest(SharedTopic topic) {
		Map<String, KeyedRecord> newestByKey = new LinkedHashMap<>();
		this.topics.get(topic).forEach((keyedRecord) -> newestByKey.put(keyedRecord.key(), keyedRecord));
		List<KeyedRecord> records = newestByKey.values()
			.stream()
			.filter((keyedRecord) -> keyedRecord.value() != null)
			.toList();
		return new LogPage(records, this.topics.get(topic).size(), null);
	}

	private synchronized LogPage readFrom(SharedTopic topic, long offset) {
		List<KeyedRecord> topicRecords = this.topics.get(topic);
		return new LogPage(List.copyOf(topicRecords.subList((int) offset, topicRecords.size())), topicRecords.size(),
				null);
	}

	/**
	 * Returns the client of one host.
	 * @param hostName the name of the host
	 * @param eventLoop the event loop that completes the answers
	 * @return the client
	 */
	Client clientOf(String hostName, EventLoop eventLoop) {
		return new Client(hostName, eventLoop);
	}

	private synchronized LogPage newestJobs(int partition) {
		if (this.refusingJobReads) {
			throw new CallException(CallException.Code.TIMEOUT, "The jobs can't be read");
		}
		Map<String, KeyedRecord> newestByKey = new LinkedHashMap<>();
		jobPartition(partition).records.forEach((keyedRecord) -> newestByKey.put(keyedRecord.key(), keyedRecord));
		List<KeyedRecord> records = newestByKey.values()
			.stream()
			.filter((keyedRecord) -> keyedRecord.value() != null)
			.toList();
		return new LogPage(records, jobPartition(partition).records.size(), null);
	}

	private synchronized Void appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
		JobPartition jobPartition = jobPartition(partition);
		if (epoch < jobPartition.epoch) {
			throw new CallException(CallException.Code.FENCED, "A writer with a higher epoch has appended");
		}
		if (epoch > jobPartition.epoch) {
			jobPartition.epoch = epoch;
			jobPartition.sequence = sequence - 1;
		}
		if (sequence == jobPartition.sequence + 1) {
			records.forEach((newRecord) -> jobPartition.records.add(new KeyedRecord(jobPartition.records.size(),
					newRecord.key(), (newRecord.value().length > 0) ? newRecord.value() : null)));
			jobPartition.sequence = sequence;
		}
		return null;
	}

	/**
	 * Stores a record among those of durable jobs, as another writer may do.
	 * @param partition the number of the partition
	 * @param key the key of the record
	 * @param value the value of the record
	 */
	synchronized void storeJobRecord(int partition, String key, byte[] value) {
		List<KeyedRecord> records = jobPartition(partition).records;
		records.add(new KeyedRecord(records.size(), key, value));
	}

	private JobPartition jobPartition(int partition) {
		return this.jobPartitions.computeIfAbsent(partition, (number) -> new JobPartition());
	}

	private static final class JobPartition {

		private final List<KeyedRecord> records = new ArrayList<>();

		private long epoch;

		private long sequence;

	}

	/**
	 * The client of one host, whose calls time out while the log is unreachable for it.
	 */
	final class Client implements SharedLog, JobLog {

		private final String hostName;

		private final EventLoop eventLoop;

		private Client(String hostName, EventLoop eventLoop) {
			this.hostName = hostName;
			this.eventLoop = eventLoop;
		}

		private <T> CompletableFuture<T> answer(Supplier<T> call) {
			return answer(call, 2);
		}

		private <T> CompletableFuture<T> answer(Supplier<T> call, long delayMillis) {
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(() -> {
				if (InMemoryLog.this.unreachableFrom.contains(this.hostName)) {
					answer.completeExceptionally(
							new CallException(CallException.Code.TIMEOUT, "The log is unreachable for this host"));
					return;
				}
				try {
					answer.complete(call.get());
				}
				catch (CallException ex) {
					answer.completeExceptionally(ex);
				}
			}, delayMillis, TimeUnit.MILLISECONDS);
			return answer;
		}

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey) {
			if (topic != SharedTopic.ENDPOINTS) {
				return answer(() -> InMemoryLog.this.read(topic, () -> newest(topic)));
			}
			InMemoryLog.this.endpointLoadCounts.merge(this.hostName, 1, Integer::sum);
			return answer(() -> InMemoryLog.this.newest(topic),
					InMemoryLog.this.endpointLoadDelaysMillis.getOrDefault(this.hostName, 2L));
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis) {
			return answer(() -> InMemoryLog.this.read(topic, () -> readFrom(topic, fromOffset))).thenCompose((page) -> {
				if (!page.records().isEmpty() || waitMillis <= POLL_MILLIS) {
					return CompletableFuture.completedFuture(page);
				}
				CompletableFuture<LogPage> result = new CompletableFuture<>();
				this.eventLoop.schedule(
						() -> read(topic, fromOffset, waitMillis - POLL_MILLIS)
							.whenComplete((nextPage, error) -> completeWith(result, nextPage, error)),
						POLL_MILLIS, TimeUnit.MILLISECONDS);
				return result;
			});
		}

		private static void completeWith(CompletableFuture<LogPage> result, LogPage page, Throwable error) {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(page);
			}
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records,
				OptionalLong expectedEndOffset) {
			return answer(() -> appendExpecting(topic, records, expectedEndOffset),
					InMemoryLog.this.appendDelaysMillis.getOrDefault(this.hostName, 2L));
		}

		@Override
		public int partitionCount() {
			return 4;
		}

		@Override
		public CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey) {
			return answer(() -> InMemoryLog.this.newestJobs(partition));
		}

		@Override
		public CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
			return answer(() -> InMemoryLog.this.appendJobs(partition, epoch, sequence, records));
		}

	}

}
