package org.masticwick.daemon.process;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

import org.masticwick.core.connection.HostVersionStatus;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.Verdict;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.version.VersionRegistry;

/**
 * Reads back to operators what is in force where, and what became of a release note.
 */
final class VersionReport {

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper()
		.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);

	private final VersionRegistry registry;

	private final Membership membership;

	private final Supplier<PeerStatus> ownStatus;

	private final TimeSource time;

	VersionReport(VersionRegistry registry, Membership membership, Supplier<PeerStatus> ownStatus, TimeSource time) {
		this.registry = registry;
		this.membership = membership;
		this.ownStatus = ownStatus;
		this.time = time;
	}

	/**
	 * Returns what is in force on each host that is known.
	 * @return the report
	 */
	SiteReport siteReport() {
		Map<String, List<HostReport>> domains = new TreeMap<>();
		this.membership.versionStatusByDomain(this.ownStatus.get(), this.time.nanoTime())
			.forEach((domain, hosts) -> domains.put(domain, hosts.stream().map(HostReport::of).toList()));
		return new SiteReport(this.registry.current().number(), this.registry.nextOffset(), domains);
	}

	HttpAnswer siteAnswer() {
		return toAnswer(siteReport());
	}

	HttpAnswer noteAnswer(String noteId) {
		Verdict verdict = this.registry.state().verdicts().get(noteId);
		return toAnswer((verdict != null) ? NoteReport.of(noteId, verdict)
				: new NoteReport(noteId, "unknown", 0, "No such note was read here, or it is long past"));
	}

	private HttpAnswer toAnswer(Object value) {
		try {
			return HttpAnswer.json(OK, this.mapper.writeValueAsBytes(value));
		}
		catch (IOException ex) {
			throw new MasticwickException(ErrorCode.INTERNAL, "A report can't be written", ex);
		}
	}

	/**
	 * Tells what is in force on each host.
	 *
	 * @param version the version in force on the host that answers
	 * @param logOffset the offset up to which it has read the log
	 * @param domains the hosts by failure domain
	 */
	record SiteReport(long version, long logOffset, Map<String, List<HostReport>> domains) {

	}

	/**
	 * Tells what is in force on one host, as far as the host that answers knows.
	 *
	 * @param host the peer address
	 * @param incarnation the run of the process, or {@code null} if unknown
	 * @param version the version in force
	 * @param logOffset the offset up to which the host has read the log
	 * @param ageMs how old the knowledge is, in milliseconds; -1 if there is none
	 * @param state the state of the host
	 */
	record HostReport(String host, String incarnation, long version, long logOffset, long ageMs, String state) {

		static HostReport of(HostVersionStatus host) {
			String incarnation = Optional.ofNullable(host.incarnation()).map(Incarnation::toString).orElse(null);
			return new HostReport(host.address().toString(), incarnation, host.versionNumber(), host.logOffset(),
					host.ageMillis(), host.state().text());
		}

	}

	/**
	 * Tells what became of a release note.
	 *
	 * @param note the id of the note
	 * @param verdict accepted, rejected or unknown
	 * @param version the version that the note made, or the version in force when it was
	 * rejected
	 * @param reason why it was rejected; empty if it was accepted
	 */
	record NoteReport(String note, String verdict, long version, String reason) {

		static NoteReport of(String noteId, Verdict verdict) {
			return new NoteReport(noteId, verdict.accepted() ? "accepted" : "rejected", verdict.version(),
					verdict.reason());
		}

	}

}
