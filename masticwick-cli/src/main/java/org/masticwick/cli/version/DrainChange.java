package org.masticwick.cli.version;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.SiteVersion;

/**
 * A request to drain a failure domain or to return it to service.
 *
 * @param domain the name of the failure domain
 * @param drain {@code true} to drain the domain, {@code false} to return it to service
 */
public record DrainChange(String domain, boolean drain) {

	/**
	 * Writes the release note that makes the change.
	 * @param noteId the id of the note
	 * @param version the version that the note is written against
	 * @return the note, which leaves other drained domains as they are; empty if the
	 * version needs no change
	 * @throws UnknownDomainException if no capacity of the version names the domain. A
	 * domain that is listed as drained can be returned to service nevertheless, so that
	 * an entry whose capacities were withdrawn can be removed.
	 */
	public Optional<ReleaseNote> note(String noteId, SiteVersion version) {
		SortedSet<String> activeDomains = version.rules().drainedDomains();
		checkDomain(version, activeDomains);
		SortedSet<String> domains = apply(activeDomains);
		if (domains.equals(activeDomains)) {
			return Optional.empty();
		}
		ReleaseNote.Builder note = ReleaseNote.builder(noteId, version.number());
		if (domains.isEmpty()) {
			note.withdrawRule(Rules.DRAINED_DOMAINS);
		}
		else if (version.rules().values().containsKey(Rules.DRAINED_DOMAINS)) {
			note.changeRule(Rules.DRAINED_DOMAINS, String.join(",", domains));
		}
		else {
			note.addRule(Rules.DRAINED_DOMAINS, String.join(",", domains));
		}
		return Optional.of(note.build());
	}

	/**
	 * Returns the drained domains after the change.
	 * @param activeDomains the drained domains before the change
	 * @return the drained domains in alphabetical order
	 */
	SortedSet<String> apply(SortedSet<String> activeDomains) {
		SortedSet<String> domains = new TreeSet<>(activeDomains);
		if (this.drain) {
			domains.add(this.domain);
		}
		else {
			domains.remove(this.domain);
		}
		return domains;
	}

	private void checkDomain(SiteVersion version, SortedSet<String> activeDomains) {
		SortedSet<String> capacityDomains = version.endpoints()
			.values()
			.stream()
			.map(EndpointSpec::domain)
			.collect(Collectors.toCollection(TreeSet::new));
		boolean removable = !this.drain && activeDomains.contains(this.domain);
		if (!removable && !capacityDomains.contains(this.domain)) {
			throw new UnknownDomainException("No capacity of version " + version.number() + " is in the failure domain "
					+ this.domain + "; it has " + (capacityDomains.isEmpty() ? "no capacities"
							: "capacities in " + String.join(", ", capacityDomains)));
		}
	}

}
