package org.masticwick.core.process;

/**
 * Identifies one incarnation of an entry host, with the address that its peers connect
 * to.
 *
 * @param domain the failure domain
 * @param peerAddress the address that peers connect to
 * @param incarnation the incarnation of the process
 */
public record EntryHost(String domain, HostAddress peerAddress, Incarnation incarnation) {

	@Override
	public String toString() {
		return this.domain + "/" + this.peerAddress + "/" + this.incarnation;
	}

}
