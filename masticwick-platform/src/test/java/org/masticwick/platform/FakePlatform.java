package org.masticwick.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.LogRecord;

/**
 * Keeps one stream and the list of hosts in memory, and fails on request.
 */
public final class FakePlatform implements PlatformClient {

	private final List<LogRecord> records = new ArrayList<>();

	private final Map<HostAddress, PlatformHost> hosts = new LinkedHashMap<>();

	private long beginOffset;

	private boolean down;

	private boolean losingReplies;

	public synchronized void setDown(boolean value) {
		this.down = value;
		notifyAll();
	}

	public synchronized void setLosingReplies(boolean value) {
		this.losingReplies = value;
	}

	public synchronized void truncate(long endOffset) {
		this.records.removeIf((record) -> record.offset() >= endOffset);
		this.beginOffset = Math.min(this.beginOffset, endOffset);
		notifyAll();
	}

	public synchronized void expire(long offset) {
		this.records.removeIf((record) -> record.offset() < offset);
		this.beginOffset = Math.max(this.beginOffset, offset);
	}

	public synchronized List<LogRecord> records() {
		return List.copyOf(this.records);
	}

	public synchronized long endOffset() {
		return this.beginOffset + this.records.size();
	}

	@Override
	public synchronized AppendResult append(String stream, List<String> values) {
		check(false);
		long first = endOffset();
		values.forEach((value) -> this.records.add(new LogRecord(endOffset(), value)));
		notifyAll();
		check(this.losingReplies);
		return new AppendResult(first, endOffset());
	}

	@Override
	public synchronized LogPage read(String stream, long fromOffset, int limit, Duration wait) {
		long deadlineNanos = System.nanoTime() + wait.toNanos();
		while (!this.down && fromOffset == endOffset() && System.nanoTime() < deadlineNanos) {
			await((deadlineNanos - System.nanoTime()) / 1_000_000);
		}
		check(false);
		if (fromOffset < this.beginOffset) {
			throw new RecordsExpiredException(this.beginOffset, endOffset());
		}
		List<LogRecord> found = this.records.stream()
			.filter((record) -> record.offset() >= fromOffset)
			.limit(limit)
			.toList();
		return new LogPage(this.beginOffset, endOffset(), found);
	}

	@Override
	public synchronized List<PlatformHost> hosts() {
		check(false);
		return List.copyOf(this.hosts.values());
	}

	@Override
	public synchronized void register(PlatformHost host, Duration lease) {
		check(false);
		this.hosts.put(host.address(), host);
	}

	@Override
	public synchronized void deregister(HostAddress address) {
		check(false);
		this.hosts.remove(address);
	}

	private void await(long millis) {
		try {
			wait(Math.max(1, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "interrupted", false, ex);
		}
	}

	private void check(boolean replyLost) {
		if (this.down || replyLost) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "down", replyLost, null);
		}
	}

}
