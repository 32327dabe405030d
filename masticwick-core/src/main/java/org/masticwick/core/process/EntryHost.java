package org.masticwick.core.process;

/**
 * Identifies one run of an entry host and says where its peers reach it.
 *
 * @param domain the failure domain
 * @param peerAddress where peers connect
 * @param incarnation the run of the process
 */
public record EntryHost(String domain, HostAddress peerAddress, Incarnation incarnation) {

	@Override
	public String toString() {
		return this.domain + "/" + this.peerAddress + "/" + this.incarnation;
	}

}
