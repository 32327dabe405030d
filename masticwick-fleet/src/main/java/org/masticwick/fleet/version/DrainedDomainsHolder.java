package org.masticwick.fleet.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the newest known set of drained failure domains. It is read from the operators'
 * topic, or received from a peer while the log refuses this host. A set is only replaced
 * by one with a higher offset. Must be called on the event loop.
 */
public final class DrainedDomainsHolder {

	private static final Logger logger = LoggerFactory.getLogger(DrainedDomainsHolder.class);

	private final SiteFormat format;

	private final Consumer<DrainedDomains> listener;

	/**
	 * The drained domains by the key of their record, as far as the topic was read. It is
	 * incomplete while the topic is being loaded.
	 */
	private final Map<String, String> domainsByKey = new HashMap<>();

	private DrainedDomains current;

	/**
	 * Creates a holder that knows no set.
	 * @param format tells which records drain a domain
	 * @param listener called with the new set when the set is known for the first time,
	 * and when it has other domains than before
	 */
	public DrainedDomainsHolder(SiteFormat format, Consumer<DrainedDomains> listener) {
		this.format = format;
		this.listener = listener;
	}

	/**
	 * Returns the newest known set.
	 * @return the set, or empty if this host has neither loaded the topic nor received a
	 * set from a peer
	 */
	public Optional<DrainedDomains> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns whether a failure domain is drained by the newest known set.
	 * @param domain the name of the domain
	 * @return whether it is drained; {@code false} if no set is known
	 */
	public boolean isDrained(String domain) {
		return this.current != null && this.current.contains(domain);
	}

	/**
	 * Records a record of the topic. It takes effect with the next call of
	 * {@link #onUpToDate}.
	 * @param key the key of the record
	 * @param deletion whether the record deletes the key
	 */
	public void onRecord(String key, boolean deletion) {
		this.format.drainedDomain(key).ifPresent((domain) -> {
			if (deletion) {
				this.domainsByKey.remove(key);
			}
			else {
				this.domainsByKey.put(key, domain);
			}
		});
	}

	/**
	 * Records that the topic was loaded. Domains whose key is absent were returned to
	 * service.
	 * @param keys all keys of the topic
	 */
	public void onLoaded(Collection<String> keys) {
		this.domainsByKey.keySet().retainAll(keys);
	}

	/**
	 * Applies the records that were recorded so far.
	 * @param nextOffset the offset before which all records of the topic were recorded
	 */
	public void onUpToDate(long nextOffset) {
		replaceIfNewer(new DrainedDomains(nextOffset, new HashSet<>(this.domainsByKey.values())), "log");
	}

	/**
	 * Replaces the set by one that another host knows, if that is newer.
	 * @param received the set of the other host
	 * @param source where it was received from, for log events
	 * @return whether the set was replaced
	 */
	public boolean replaceIfNewer(DrainedDomains received, String source) {
		DrainedDomains previous = this.current;
		if (previous != null && received.offset() <= previous.offset()) {
			return false;
		}
		this.current = received;
		Set<String> previousDomains = (previous != null) ? previous.domains() : Set.of();
		logAdditions(received, previousDomains, source);
		logRemovals(received, previousDomains, source);
		if (previous == null) {
			logger.atInfo()
				.addKeyValue("domains", received.sortedDomains())
				.addKeyValue("offset", received.offset())
				.addKeyValue("source", source)
				.log("Drained failure domains known; tasks may start in all others");
		}
		if (previous == null || !previousDomains.equals(received.domains())) {
			this.listener.accept(received);
		}
		return true;
	}

	private static void logAdditions(DrainedDomains received, Set<String> previousDomains, String source) {
		Set<String> added = new TreeSet<>(received.domains());
		added.removeAll(previousDomains);
		added.forEach((domain) -> logger.atInfo()
			.addKeyValue("domain", domain)
			.addKeyValue("offset", received.offset())
			.addKeyValue("source", source)
			.log("Failure domain drained; no new tasks start on its endpoints"));
	}

	private static void logRemovals(DrainedDomains received, Set<String> previousDomains, String source) {
		Set<String> removed = new TreeSet<>(previousDomains);
		removed.removeAll(received.domains());
		removed.forEach((domain) -> logger.atInfo()
			.addKeyValue("domain", domain)
			.addKeyValue("offset", received.offset())
			.addKeyValue("source", source)
			.log("Failure domain returned to service; tasks may start on its endpoints again"));
	}

}
