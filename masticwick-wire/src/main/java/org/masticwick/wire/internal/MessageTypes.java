package org.masticwick.wire.internal;

import java.util.List;
import java.util.Map;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.ClosedTicket;
import org.masticwick.wire.PeerMessage.ForwardOperation;
import org.masticwick.wire.PeerMessage.InheritedJob;
import org.masticwick.wire.PeerMessage.RecordEntry;

/**
 * Wire types of the messages on hosts, release notes and tickets.
 */
final class MessageTypes {

	static final RecordType<PeerMessage.Hello> HELLO = new RecordType<>(
			(values) -> new PeerMessage.Hello(values.get(0), values.get(1), values.get(2)),
			RecordType.required(CoreTypes.ENTRY_HOST, PeerMessage.Hello::sender),
			RecordType.required(BasicTypes.INT, PeerMessage.Hello::protocolVersion),
			RecordType.required(BasicTypes.INT, PeerMessage.Hello::minProtocolVersion));

	static final RecordType<PeerMessage.Heartbeat> HEARTBEAT = new RecordType<>(
			(values) -> new PeerMessage.Heartbeat(null, values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.LONG, PeerMessage.Heartbeat::sequence),
			RecordType.optional(BasicTypes.BOOLEAN, PeerMessage.Heartbeat::loadComplete, false),
			RecordType.required(CoreTypes.PEER_STATUS, PeerMessage.Heartbeat::status));

	static final RecordType<PeerMessage.DomainSummary> DOMAIN_SUMMARY = new RecordType<>(
			(values) -> domainSummary(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.DomainSummary::domain),
			RecordType.optional(CoreTypes.SERVICE_LOADS, PeerMessage.DomainSummary::services, Map.of()),
			RecordType.optional(BasicTypes.list(CoreTypes.HOST_SUMMARY), PeerMessage.DomainSummary::hosts, List.of()));

	static final RecordType<PeerMessage.FetchRecords> FETCH_RECORDS = new RecordType<>(
			(values) -> new PeerMessage.FetchRecords(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.LONG, PeerMessage.FetchRecords::fromOffset),
			RecordType.optional(BasicTypes.LONG, PeerMessage.FetchRecords::versionNumber, 0L),
			RecordType.required(BasicTypes.INT, PeerMessage.FetchRecords::maxRecordCount));

	static final RecordType<PeerMessage.Records> RECORDS = new RecordType<>(
			(values) -> new PeerMessage.Records(values.get(0), values.get(1), values.get(2), values.get(3),
					values.get(4)),
			RecordType.optional(BasicTypes.list(recordEntry()), PeerMessage.Records::records, List.of()),
			RecordType.optional(BasicTypes.TEXT, PeerMessage.Records::snapshot, null),
			RecordType.optional(BasicTypes.LONG, PeerMessage.Records::snapshotOffset, 0L),
			RecordType.optional(BasicTypes.LONG, PeerMessage.Records::fromOffset, 0L),
			RecordType.optional(BasicTypes.TEXT, PeerMessage.Records::fromHash, ""));

	static final RecordType<PeerMessage.Forward> FORWARD = new RecordType<>(
			(values) -> new PeerMessage.Forward(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.enumeration(ForwardOperation.values()), PeerMessage.Forward::operation),
			RecordType.required(BasicTypes.TEXT, PeerMessage.Forward::ticket),
			RecordType.required(BasicTypes.BYTES, PeerMessage.Forward::body),
			RecordType.optional(BasicTypes.LONG, PeerMessage.Forward::waitMillis, 0L));

	static final RecordType<PeerMessage.ForwardAnswer> FORWARD_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.ForwardAnswer(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.required(BasicTypes.INT, PeerMessage.ForwardAnswer::status),
			RecordType.required(BasicTypes.TEXT, PeerMessage.ForwardAnswer::contentType),
			RecordType.required(BasicTypes.BYTES, PeerMessage.ForwardAnswer::body),
			RecordType.optional(BasicTypes.LONG, PeerMessage.ForwardAnswer::retryAfterMillis, -1L));

	static final RecordType<PeerMessage.InheritTickets> INHERIT_TICKETS = new RecordType<>(
			(values) -> new PeerMessage.InheritTickets(values.get(0), values.get(1), values.get(2), values.get(3),
					values.get(4), values.get(5), values.get(6), values.get(7)),
			RecordType.required(CoreTypes.ENTRY_HOST, PeerMessage.InheritTickets::issuer),
			RecordType.required(CoreTypes.ENTRY_HOST, PeerMessage.InheritTickets::stoppingHost),
			RecordType.required(BasicTypes.LONG, PeerMessage.InheritTickets::issuerEpochMillis),
			RecordType.required(BasicTypes.LONG, PeerMessage.InheritTickets::nextSequence),
			RecordType.required(BasicTypes.BYTES, PeerMessage.InheritTickets::key),
			RecordType.required(BasicTypes.LONG, PeerMessage.InheritTickets::expiresAtEpochMillis),
			RecordType.required(BasicTypes.list(inheritedJob()), PeerMessage.InheritTickets::jobs),
			RecordType.required(BasicTypes.INT, PeerMessage.InheritTickets::jobCount));

	static final RecordType<PeerMessage.InheritAnswer> INHERIT_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.InheritAnswer(values.get(0)),
			RecordType.required(BasicTypes.BOOLEAN, PeerMessage.InheritAnswer::accepted));

	static final RecordType<PeerMessage.CloseTickets> CLOSE_TICKETS = new RecordType<>(
			(values) -> new PeerMessage.CloseTickets(values.get(0)),
			RecordType.required(BasicTypes.list(closedTicket()), PeerMessage.CloseTickets::tickets));

	static final RecordType<PeerMessage.Ping> PING = new RecordType<>((values) -> new PeerMessage.Ping());

	static final RecordType<PeerMessage.Pong> PONG = new RecordType<>((values) -> new PeerMessage.Pong());

	static final RecordType<PeerMessage.ErrorAnswer> ERROR_ANSWER = new RecordType<>(
			(values) -> new PeerMessage.ErrorAnswer(values.get(0), values.get(1)),
			RecordType.required(BasicTypes.TEXT, PeerMessage.ErrorAnswer::code),
			RecordType.optional(BasicTypes.TEXT, PeerMessage.ErrorAnswer::message, ""));

	private MessageTypes() {
	}

	private static PeerMessage.DomainSummary domainSummary(String domain, Map<String, ServiceLoad> services,
			List<HostSummary> hosts) {
		return new PeerMessage.DomainSummary(domain, services,
				hosts.stream().map((summary) -> CoreTypes.withDomain(domain, summary)).toList());
	}

	private static RecordType<RecordEntry> recordEntry() {
		return new RecordType<>((values) -> new RecordEntry(values.get(0), values.get(1)),
				RecordType.required(BasicTypes.LONG, RecordEntry::offset),
				RecordType.required(BasicTypes.TEXT, RecordEntry::value));
	}

	private static RecordType<InheritedJob> inheritedJob() {
		return new RecordType<>(
				(values) -> new InheritedJob(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4)),
				RecordType.required(BasicTypes.TEXT, InheritedJob::ticket),
				RecordType.required(BasicTypes.BYTES, InheritedJob::digest),
				RecordType.required(BasicTypes.INT, InheritedJob::status),
				RecordType.required(BasicTypes.TEXT, InheritedJob::contentType),
				RecordType.required(BasicTypes.BYTES, InheritedJob::body));
	}

	private static RecordType<ClosedTicket> closedTicket() {
		return new RecordType<>(
				(values) -> new ClosedTicket(values.get(0), values.get(1), values.get(2), values.get(3)),
				RecordType.required(BasicTypes.TEXT, ClosedTicket::ticket),
				RecordType.required(BasicTypes.INT, ClosedTicket::status),
				RecordType.required(BasicTypes.TEXT, ClosedTicket::contentType),
				RecordType.required(BasicTypes.BYTES, ClosedTicket::body));
	}

}
