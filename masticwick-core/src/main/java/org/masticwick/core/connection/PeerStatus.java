package org.masticwick.core.connection;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Tells what an entry host says of itself in a heartbeat.
 *
 * @param versionNumber the version of the site that is in force on the host, 0 if none is
 * @param logOffset the offset up to which the host has read the log of release notes
 * @param logHash the hash of the records up to that offset, or {@code null} if unknown
 * @param ready whether the host takes requests of callers
 * @param leaving whether the host has begun a planned stop
 * @param heldIncarnations the ended incarnations whose tickets the host has inherited
 * @param apiAddress where callers reach the host, or {@code null} if not yet
 * @param load how busy the host is
 */
public record PeerStatus(long versionNumber, long logOffset, String logHash, boolean ready, boolean leaving,
		List<Incarnation> heldIncarnations, HostAddress apiAddress, LoadReport load) {

	/**
	 * A report without any load.
	 */
	public static final LoadReport NO_LOAD = new LoadReport(Map.of(), Map.of(), Map.of());

	/**
	 * The status of a host that has said nothing of itself.
	 */
	public static final PeerStatus NONE = new PeerStatus(0, 0, null, false, false, List.of(), null, NO_LOAD);

	/**
	 * Copies the list.
	 */
	public PeerStatus {
		heldIncarnations = List.copyOf(heldIncarnations);
		load = (load != null) ? load : NO_LOAD;
	}

	/**
	 * Returns a number that two hosts use to tell whether they mean the same status.
	 * @return the digest, the same on each host; the load does not count
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
