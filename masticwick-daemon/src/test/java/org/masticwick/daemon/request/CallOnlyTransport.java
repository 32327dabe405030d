package org.masticwick.daemon.request;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.TrafficCounters;

/**
 * Base class of test transports that support only calls.
 */
abstract class CallOnlyTransport implements PeerTransport {

	@Override
	public HostAddress localAddress() {
		throw new UnsupportedOperationException();
	}

	@Override
	public void send(HostAddress to, PeerMessage message) {
		throw new UnsupportedOperationException();
	}

	@Override
	public TrafficCounters traffic() {
		throw new UnsupportedOperationException();
	}

	@Override
	public void close() {
	}

}
