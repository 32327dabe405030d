package org.masticwick.fleet.process;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.version.InvalidRecordException;

/**
 * Writes the member record of this host, and applies those of its peers, the claims of
 * pools and the marker of durable jobs.
 */
final class MemberRecords implements TopicFollower.Listener {

	/** The logger name is a field of the log lines, which keep that of the host. */
	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	private static final String KEY_PREFIX = "host/";

	private static final long REGISTRATION_RETRY_MILLIS = 250;

	private final EventLoop eventLoop;

	private final SharedLog log;

	private final MemberRecord self;

	private final PeerTable peers;

	private final PoolOwnership ownership;

	private final DurableJobsMarker durableJobsMarker;

	private final Consumer<HostAddress> lostPeers;

	/**
	 * Creates an instance.
	 * @param eventLoop the event loop that runs retries
	 * @param log the client of the log
	 * @param self this host
	 * @param peers gets the member records of the peers
	 * @param ownership gets the claims
	 * @param durableJobsMarker gets its record
	 * @param lostPeers gets the addresses of peers that were restarted
	 */
	MemberRecords(EventLoop eventLoop, SharedLog log, MemberRecord self, PeerTable peers, PoolOwnership ownership,
			DurableJobsMarker durableJobsMarker, Consumer<HostAddress> lostPeers) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.self = self;
		this.peers = peers;
		this.ownership = ownership;
		this.durableJobsMarker = durableJobsMarker;
		this.lostPeers = lostPeers;
	}

	/**
	 * Writes the member record of this host. Retries until that succeeds.
	 */
	void register() {
		this.log
			.append(SharedTopic.MEMBERS, List.of(new NewRecord(KEY_PREFIX + this.self.hostName(), this.self.toBytes())),
					OptionalLong.empty())
			.whenComplete((offset, error) -> {
				if (error != null) {
					this.eventLoop.schedule(this::register, REGISTRATION_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	@Override
	public void onRecord(KeyedRecord memberRecord) {
		if (memberRecord.key().startsWith(PoolOwnership.CLAIM_KEY_PREFIX)) {
			this.ownership.applyClaimRecord(memberRecord);
		}
		else if (memberRecord.key().equals(DurableJobsMarker.KEY)) {
			this.durableJobsMarker.onRecord(memberRecord);
		}
		else if (memberRecord.key().startsWith(KEY_PREFIX) && memberRecord.value() != null) {
			applyHostRecord(memberRecord);
		}
	}

	@Override
	public void onUpToDate(long nextOffset) {
		this.durableJobsMarker.onUpToDate(nextOffset);
	}

	private void applyHostRecord(KeyedRecord hostRecord) {
		try {
			MemberRecord member = MemberRecord.read(hostRecord.value());
			if (member.peerAddress().equals(this.self.peerAddress())) {
				return;
			}
			if (this.peers.recordIncarnation(member.peerAddress(), member.incarnation())) {
				this.lostPeers.accept(member.peerAddress());
			}
			if (this.peers.addMember(member)) {
				logger.atInfo()
					.addKeyValue("peer", member.peerAddress())
					.addKeyValue("host", member.hostName())
					.log("Peer added from its member record");
			}
		}
		catch (InvalidRecordException ex) {
			logger.atWarn()
				.addKeyValue("key", hostRecord.key())
				.addKeyValue("reason", ex.getMessage())
				.log("Unreadable member record ignored");
		}
	}

}
