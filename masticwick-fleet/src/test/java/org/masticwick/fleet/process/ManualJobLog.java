package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.LogPage;
import org.masticwick.fleet.connection.NewRecord;

/**
 * A log with one partition of jobs, whose appends wait until the test answers them.
 */
final class ManualJobLog implements JobLog {

	private final Map<String, byte[]> values = new LinkedHashMap<>();

	private final List<Append> appends = new ArrayList<>();

	private final List<String> appendedKeys = new ArrayList<>();

	@Override
	public int partitionCount() {
		return 1;
	}

	@Override
	public CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey) {
		List<KeyedRecord> records = this.values.entrySet()
			.stream()
			.map((entry) -> new KeyedRecord(0, entry.getKey(), entry.getValue()))
			.toList();
		return CompletableFuture.completedFuture(new LogPage(records, records.size(), null));
	}

	@Override
	public CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records) {
		Append append = new Append(records, new CompletableFuture<>());
		this.appends.add(append);
		return append.stored();
	}

	/**
	 * Stores a record of a previous owner.
	 * @param key the key
	 * @param value the value; an empty one deletes the key
	 */
	void store(String key, byte[] value) {
		if (value.length > 0) {
			this.values.put(key, value);
		}
		else {
			this.values.remove(key);
		}
	}

	/**
	 * Stores the pending appends and answers them.
	 */
	void answer() {
		pollAppends().forEach((append) -> {
			store(append);
			append.stored().complete(null);
		});
	}

	/**
	 * Stores the pending appends, whose answers are lost.
	 */
	void storeAndLoseAnswers() {
		pollAppends().forEach((append) -> {
			store(append);
			append.fail(CallException.Code.BROKEN);
		});
	}

	/**
	 * Fails the pending appends without storing them.
	 */
	void lose() {
		pollAppends().forEach((append) -> append.fail(CallException.Code.TIMEOUT));
	}

	/**
	 * Refuses the pending appends because another host owns the pool.
	 */
	void fence() {
		pollAppends().forEach((append) -> append.fail(CallException.Code.FENCED));
	}

	/**
	 * Forgets the pending appends, which are never answered.
	 */
	void dropAppends() {
		this.appends.clear();
	}

	private List<Append> pollAppends() {
		List<Append> pending = List.copyOf(this.appends);
		this.appends.clear();
		return pending;
	}

	private void store(Append append) {
		append.records().forEach((each) -> {
			this.appendedKeys.add(each.key());
			store(each.key(), each.value());
		});
	}

	List<String> appendedKeys() {
		return this.appendedKeys;
	}

	private record Append(List<NewRecord> records, CompletableFuture<Void> stored) {

		private void fail(CallException.Code code) {
			this.stored.completeExceptionally(new CallException(code, "The test fails the append"));
		}

	}

}
