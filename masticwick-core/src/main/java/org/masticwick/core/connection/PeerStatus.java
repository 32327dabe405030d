package org.masticwick.core.connection;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * The status of an entry host, as it reports it in its heartbeats.
 *
 * @param versionNumber the number of the active version of the site on the host, 0 if
 * there is none
 * @param logOffset the offset up to which the host has read the log stream of release
 * notes
 * @param logHash the hash of the records up to that offset, or {@code null} if unknown
 * @param ready whether the host accepts requests of callers
 * @param leaving whether the host has begun a planned shutdown
 * @param heldIncarnations the other incarnations whose tickets the host holds as their
 * successor
 * @param apiAddress the address for callers, or {@code null} if the host does not listen
 * there yet
 * @param load the load of the host; {@code null} counts as no load
 */
public record PeerStatus(long versionNumber, long logOffset, String logHash, boolean ready, boolean leaving,
		List<Incarnation> heldIncarnations, HostAddress apiAddress, LoadReport load) {

	/**
	 * A load report without entries.
	 */
	public static final LoadReport NO_LOAD = new LoadReport(Map.of(), Map.of(), Map.of());

	/**
	 * The status of a host that has not reported any.
	 */
	public static final PeerStatus NONE = new PeerStatus(0, 0, null, false, false, List.of(), null, NO_LOAD);

	/**
	 * Copies the list, and replaces a missing load by {@link #NO_LOAD}.
	 */
	public PeerStatus {
		heldIncarnations = List.copyOf(heldIncarnations);
		load = (load != null) ? load : NO_LOAD;
	}

	/**
	 * Returns a digest by which two hosts compare statuses without sending them.
	 * @return the digest, which is the same on every host; it does not include the load
	 */
	public int digest() {
		List<String> held = this.heldIncarnations.stream().map(Incarnation::toString).toList();
		return Objects.hash(this.versionNumber, this.logOffset, this.logHash, this.ready, this.leaving, held,
				String.valueOf(this.apiAddress));
	}

	/**
	 * Returns this status with another load.
	 * @param newLoad the load
	 * @return the changed copy
	 */
	public PeerStatus withLoad(LoadReport newLoad) {
		return new PeerStatus(this.versionNumber, this.logOffset, this.logHash, this.ready, this.leaving,
				this.heldIncarnations, this.apiAddress, newLoad);
	}

}
