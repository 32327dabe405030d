package org.masticwick.daemon.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.Verdict;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.version.VersionRegistry;

/**
 * Reports the active version of each host, and the verdict on a release note, to
 * operators.
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
	 * Returns the active version of each known host.
	 * @return the report
	 */
	SiteReport siteReport() {
		Map<String, List<HostReport>> domains = new TreeMap<>();
		this.membership.versionStatusByDomain(this.ownStatus.get(), this.time.nanoTime())
			.forEach((domain, hosts) -> domains.put(domain, hosts.stream().map(HostReport::of).toList()));
		return new SiteReport(this.registry.activeVersion().number(), this.registry.nextOffset(), domains);
	}

	HttpAnswer siteAnswer() {
		return toAnswer(siteReport());
	}

	/**
	 * Returns the active state of the site.
	 * @return the answer
	 * @throws MasticwickException with {@link ErrorCode#NO_VERSION} while this host has
	 * no state
	 */
	HttpAnswer stateAnswer() {
		if (!this.registry.hasState()) {
			throw new MasticwickException(ErrorCode.NO_VERSION, "This host has not received a version of the site yet");
		}
		return HttpAnswer.json(OK, SiteRecordCodec.encodeState(this.registry.state()).getBytes(StandardCharsets.UTF_8));
	}

	HttpAnswer noteAnswer(String noteId) {
		Verdict verdict = this.registry.state().verdicts().get(noteId);
		return toAnswer((verdict != null) ? NoteReport.of(noteId, verdict) : new NoteReport(noteId, "unknown", 0,
				"This host has not read a note with this id, or no longer keeps its verdict"));
	}

	private HttpAnswer toAnswer(Object value) {
		try {
			return HttpAnswer.json(OK, this.mapper.writeValueAsBytes(value));
		}
		catch (IOException ex) {
			throw new MasticwickException(ErrorCode.INTERNAL, "The version report can't be written as JSON", ex);
		}
	}

	/**
	 * The active versions of all known hosts.
	 *
	 * @param version the number of the active version of the answering host
	 * @param logOffset the offset of the next record that the answering host reads from
	 * the log
	 * @param domains the hosts by failure domain
	 */
	record SiteReport(long version, long logOffset, Map<String, List<HostReport>> domains) {

	}

	/**
	 * The active version of one host, as last reported to the answering host.
	 *
	 * @param host the address on which the host serves peers
	 * @param incarnation the incarnation of the host, or {@code null} if unknown
	 * @param version the number of the active version
	 * @param logOffset the offset of the next record that the host reads from the log
	 * @param ageMs the age of this information, in milliseconds; -1 if there is none
	 * @param state whether the host is starting, ready or leaving, or unknown
	 */
	record HostReport(String host, String incarnation, long version, long logOffset, long ageMs, String state) {

		static HostReport of(HostVersionStatus host) {
			String incarnation = Optional.ofNullable(host.incarnation()).map(Incarnation::toString).orElse(null);
			return new HostReport(host.address().toString(), incarnation, host.versionNumber(), host.logOffset(),
					host.ageMillis(), host.state().text());
		}

	}

	/**
	 * The verdict on a release note.
	 *
	 * @param note the id of the note
	 * @param verdict accepted, rejected or unknown
	 * @param version the number of the version that the note created, or of the version
	 * that was active when it was rejected; 0 if the verdict is unknown
	 * @param reason why the note was rejected or why its verdict is unknown; empty if it
	 * was accepted
	 */
	record NoteReport(String note, String verdict, long version, String reason) {

		static NoteReport of(String noteId, Verdict verdict) {
			return new NoteReport(noteId, verdict.accepted() ? "accepted" : "rejected", verdict.version(),
					verdict.reason());
		}

	}

}
