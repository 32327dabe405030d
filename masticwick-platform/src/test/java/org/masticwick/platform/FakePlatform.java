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
 * An in-memory platform with one stream and a list of hosts. It can be made to be down,
 * to lose the replies to appends, and to lose or expire records.
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
		failIfDown(false);
		long firstOffset = endOffset();
		values.forEach((value) -> this.records.add(new LogRecord(endOffset(), value)));
		notifyAll();
		failIfDown(this.losingReplies);
		return new AppendResult(firstOffset, endOffset());
	}

	@Override
	public synchronized LogPage read(String stream, long fromOffset, int limit, Duration wait) {
		long deadlineNanos = System.nanoTime() + wait.toNanos();
		while (!this.down && fromOffset == endOffset() && System.nanoTime() < deadlineNanos) {
			waitForChange((deadlineNanos - System.nanoTime()) / 1_000_000);
		}
		failIfDown(false);
		if (fromOffset < this.beginOffset) {
			throw new RecordsExpiredException(this.beginOffset, endOffset());
		}
		List<LogRecord> page = this.records.stream()
			.filter((record) -> record.offset() >= fromOffset)
			.limit(limit)
			.toList();
		return new LogPage(this.beginOffset, endOffset(), page);
	}

	@Override
	public synchronized List<PlatformHost> hosts() {
		failIfDown(false);
		return List.copyOf(this.hosts.values());
	}

	@Override
	public synchronized void register(PlatformHost host, Duration lease) {
		failIfDown(false);
		this.hosts.put(host.address(), host);
	}

	@Override
	public synchronized void deregister(HostAddress address) {
		failIfDown(false);
		this.hosts.remove(address);
	}

	private void waitForChange(long millis) {
		try {
			wait(Math.max(1, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "interrupted while waiting for records", false,
					ex);
		}
	}

	private void failIfDown(boolean replyLost) {
		if (this.down || replyLost) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the platform is down or its reply was lost",
					replyLost, null);
		}
	}

}
