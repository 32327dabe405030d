package org.masticwick.proof.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;
import org.masticwick.proof.support.SiteNote;

/**
 * Measures the time from the append of a release note until the resulting version is
 * active on every entry host.
 */
final class NoteTimes {

	private static final long POLL_MILLIS = 10;

	private static final long TIMEOUT_NANOS = 60_000_000_000L;

	private final Site site;

	private final List<HostAddress> hosts;

	NoteTimes(Site site, List<EntryHostProcess> hosts) {
		this.site = site;
		this.hosts = hosts.stream().map(EntryHostProcess::api).toList();
	}

	/**
	 * Publishes release notes sequentially and measures the time of each.
	 * @param count the number of release notes
	 * @param bytes the minimum length of each, in bytes
	 * @return the quantiles in milliseconds, as text
	 */
	String publishSequentially(int count, int bytes) {
		List<Long> timesMillis = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			timesMillis.add(publishAndAwaitMillis(List.of(note("single-" + index, bytes))));
		}
		return describe(timesMillis);
	}

	/**
	 * Publishes release notes concurrently and measures the time until all are active on
	 * every entry host.
	 * @param count the number of release notes
	 * @param bytes the minimum length of each, in bytes
	 * @return the time in milliseconds, as text
	 */
	String publishConcurrently(int count, int bytes) {
		List<SiteNote> notes = IntStream.range(0, count).mapToObj((index) -> note("burst-" + index, bytes)).toList();
		return describe(List.of(publishAndAwaitMillis(notes)));
	}

	private SiteNote note(String id, int bytes) {
		return CapacityNotes.noteOfLength(id, version(this.hosts.get(0)), bytes);
	}

	private long publishAndAwaitMillis(Collection<SiteNote> notes) {
		long targetVersion = version(this.hosts.get(0)) + notes.size();
		long startNanos = System.nanoTime();
		notes.parallelStream().forEach(this.site::publish);
		this.hosts.parallelStream().forEach((host) -> awaitVersion(host, targetVersion, startNanos + TIMEOUT_NANOS));
		return (System.nanoTime() - startNanos) / 1_000_000;
	}

	private void awaitVersion(HostAddress host, long targetVersion, long timeoutAtNanos) {
		while (version(host) < targetVersion) {
			if (System.nanoTime() - timeoutAtNanos > 0) {
				throw new IllegalStateException(host + " timed out at version " + version(host));
			}
			pause();
		}
	}

	private long version(HostAddress host) {
		ApiClient.Reply reply = this.site.client().send("GET", host, "/v1/version");
		return reply.json().path("version").longValue();
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String describe(List<Long> timesMillis) {
		long[] sortedMillis = timesMillis.stream().mapToLong(Long::longValue).sorted().toArray();
		return String.format(Locale.ROOT, "count=%d p50_ms=%d max_ms=%d", sortedMillis.length,
				sortedMillis[sortedMillis.length / 2], Arrays.stream(sortedMillis).max().orElse(0));
	}

}
