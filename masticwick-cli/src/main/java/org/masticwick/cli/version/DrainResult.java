package org.masticwick.cli.version;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

import org.masticwick.platform.PublishResult;

/**
 * The result of draining a failure domain or of returning it to service.
 *
 * @param status {@link PublishResult.Status#ACCEPTED} if the change is part of the active
 * version; {@link PublishResult.Status#REJECTED} if every note was rejected, so that
 * nothing has changed; {@link PublishResult.Status#PENDING} if the verdict is not known
 * @param noteId the id of the last note that was published; empty if no note was
 * necessary
 * @param version the number of the version that has the change, or that was active when
 * the last note was rejected; 0 if pending
 * @param drainedDomains the drained domains of that version; those that the note requests
 * if it was rejected or is pending
 * @param reason why the note was rejected, or why its verdict is unknown; empty if
 * accepted
 */
public record DrainResult(PublishResult.Status status, String noteId, long version, SortedSet<String> drainedDomains,
		String reason) {

	/**
	 * Copies the drained domains.
	 */
	public DrainResult {
		drainedDomains = Collections.unmodifiableSortedSet(new TreeSet<>(drainedDomains));
	}

}
