package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.LogPage;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;

/**
 * The log as simulated hosts reach it: slow, or silent while it executes calls late or
 * not at all.
 */
final class VirtualLog {

	private static final long CALL_TIMEOUT_MILLIS = 800;

	private static final int MAX_LATE_MILLIS = 3_000;

	private final VirtualTime time;

	private final Random random;

	private final InMemoryLog log;

	private final VirtualEventLoop logLoop;

	private final Map<String, Long> silentUntilMicros = new HashMap<>();

	private final Map<String, Long> slowUntilMicros = new HashMap<>();

	VirtualLog(VirtualTime time, Random random, InMemoryLog log) {
		this.time = time;
		this.random = random;
		this.log = log;
		this.logLoop = new VirtualEventLoop(time, "log");
	}

	/**
	 * Lets the log answer no call of a host for a while. It executes some of them late.
	 * @param hostName the name of the host
	 * @param millis for how long, in milliseconds
	 */
	void silence(String hostName, long millis) {
		this.silentUntilMicros.put(hostName, this.time.nowMicros() + TimeUnit.MILLISECONDS.toMicros(millis));
	}

	/**
	 * Lets the log answer the calls of a host slowly for a while.
	 * @param hostName the name of the host
	 * @param millis for how long, in milliseconds
	 */
	void slow(String hostName, long millis) {
		this.slowUntilMicros.put(hostName, this.time.nowMicros() + TimeUnit.MILLISECONDS.toMicros(millis));
	}

	private boolean isWithin(Map<String, Long> untilMicros, String hostName) {
		return this.time.nowMicros() < untilMicros.getOrDefault(hostName, 0L);
	}

	private long latencyMicros(String hostName) {
		int spreadMillis = isWithin(this.slowUntilMicros, hostName) ? 400 : 2;
		return TimeUnit.MILLISECONDS.toMicros(this.random.nextInt(spreadMillis)) + this.random.nextInt(1_000);
	}

	Client clientOf(String hostName, VirtualEventLoop eventLoop) {
		return new Client(hostName, eventLoop);
	}

	/**
	 * The client of one host.
	 */
	final class Client implements SharedLog, JobLog {

		private final String hostName;

		private final VirtualEventLoop eventLoop;

		private final InMemoryLog.Client delegate;

		private Client(String hostName, VirtualEventLoop eventLoop) {
			this.hostName = hostName;
			this.eventLoop = eventLoop;
			this.delegate = VirtualLog.this.log.clientOf(hostName, VirtualLog.this.logLoop);
		}

		private <T> CompletableFuture<T> call(long waitMillis,
				Function<InMemoryLog.Client, CompletableFuture<T>> action) {
			CompletableFuture<T> result = new CompletableFuture<>();
			this.eventLoop.schedule(() -> {
				if (!result.isDone()) {
					result.completeExceptionally(
							new CallException(CallException.Code.TIMEOUT, "The log has not answered in time"));
				}
			}, waitMillis + CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			Random random = VirtualLog.this.random;
			if (!isWithin(VirtualLog.this.silentUntilMicros, this.hostName)) {
				VirtualLog.this.time.after(latencyMicros(this.hostName), () -> execute(action, result));
			}
			else if (random.nextInt(3) == 0) {
				VirtualLog.this.time.afterMillis(random.nextInt(MAX_LATE_MILLIS), () -> action.apply(this.delegate));
			}
			return result;
		}

		private <T> void execute(Function<InMemoryLog.Client, CompletableFuture<T>> action,
				CompletableFuture<T> result) {
			action.apply(this.delegate).whenComplete((value, error) -> {
				if (!isWithin(VirtualLog.this.silentUntilMicros, this.hostName)) {
					VirtualLog.this.time.after(latencyMicros(this.hostName),
							() -> this.eventLoop.execute(() -> complete(result, value, error)));
				}
			});
		}

		private static <T> void complete(CompletableFuture<T> result, T value, Throwable error) {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(value);
			}
		}

		@Override
		public CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey) {
			return call(0, (client) -> client.readLatest(topic, afterKey));
		}

		@Override
		public CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis) {
			return call(waitMillis, (client) -> client.read(topic, fromOffset, waitMillis));
		}

		@Override
		public CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records,
				OptionalLong expectedEndOffset) {
			return call(0, (client) -> client.append(topic, records, expectedEndOffset));
		}

		@Override
		public int partitionCount() {
			return this.delegate.partitionCount();
		}

		@Override
		public CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey) {
			return call(0, (client) -> client.readLatestJobs(partition, afterKey));
		}

		@Override
		public CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
			return call(0, (client) -> client.appendJobs(partition, epoch, sequence, records));
		}

	}

}
