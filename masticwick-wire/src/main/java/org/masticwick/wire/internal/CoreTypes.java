package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessagePacker;
import org.msgpack.value.ValueType;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.MalformedMessageException;

/**
 * Wire types of the records that several messages contain.
 */
final class CoreTypes {

	static final WireType<HostAddress> ADDRESS = BasicTypes.type(CoreTypes::writeAddress, CoreTypes::readAddress);

	static final WireType<Incarnation> INCARNATION = BasicTypes.type(CoreTypes::writeIncarnation,
			CoreTypes::readIncarnation);

	static final RecordType<EntryHost> ENTRY_HOST = new RecordType<>(
			(values) -> new EntryHost(values.get(0), values.get(1), values.get(2)),
			RecordType.required(BasicTypes.TEXT, EntryHost::domain),
			RecordType.required(ADDRESS, EntryHost::peerAddress),
			RecordType.required(INCARNATION, EntryHost::incarnation));

	static final RecordType<ServiceLoad> SERVICE_LOAD = new RecordType<>(
			(values) -> new ServiceLoad(values.get(0), values.get(1), values.get(2), values.get(3)),
			RecordType.optional(BasicTypes.INT, ServiceLoad::queuedCount, 0),
			RecordType.optional(BasicTypes.INT, ServiceLoad::runningCount, 0),
			RecordType.optional(BasicTypes.INT, ServiceLoad::slotCount, 0),
			RecordType.optional(BasicTypes.LONG, ServiceLoad::waitMillis, 0L));

	static final WireType<Map<String, ServiceLoad>> SERVICE_LOADS = BasicTypes.map(BasicTypes.TEXT, SERVICE_LOAD);

	static final RecordType<LoadReport> LOAD_REPORT = new RecordType<>(
			(values) -> new LoadReport(values.get(0), values.get(1), values.get(2)),
			RecordType.optional(SERVICE_LOADS, LoadReport::services, Map.of()),
			RecordType.optional(BasicTypes.map(ADDRESS, BasicTypes.INT), LoadReport::outstanding, Map.of()),
			RecordType.optional(BasicTypes.map(BasicTypes.TEXT, BasicTypes.INT), LoadReport::teamRunning, Map.of()));

	static final RecordType<PeerStatus> PEER_STATUS = new RecordType<>(
			(values) -> new PeerStatus(values.get(0), values.get(1), values.get(2), values.get(3), values.get(4),
					values.get(5), values.get(6), values.get(7)),
			RecordType.optional(BasicTypes.LONG, PeerStatus::versionNumber, 0L),
			RecordType.optional(BasicTypes.LONG, PeerStatus::logOffset, 0L),
			RecordType.optional(BasicTypes.TEXT, PeerStatus::logHash, null),
			RecordType.optional(BasicTypes.BOOLEAN, PeerStatus::ready, false),
			RecordType.optional(BasicTypes.BOOLEAN, PeerStatus::leaving, false),
			RecordType.optional(BasicTypes.list(INCARNATION), PeerStatus::heldIncarnations, List.of()),
			RecordType.optional(ADDRESS, PeerStatus::apiAddress, null),
			RecordType.optional(LOAD_REPORT, PeerStatus::load, PeerStatus.NO_LOAD));

	static final RecordType<HostSummary> HOST_SUMMARY = new RecordType<>(
			(values) -> new HostSummary(new EntryHost(null, values.get(0), values.get(1)), values.get(2), values.get(3),
					values.get(4), values.get(5)),
			RecordType.required(ADDRESS, (summary) -> summary.host().peerAddress()),
			RecordType.required(INCARNATION, (summary) -> summary.host().incarnation()),
			RecordType.optional(BasicTypes.LONG, HostSummary::sequence, -1L),
			RecordType.optional(PEER_STATUS, HostSummary::status, null),
			RecordType.optional(BasicTypes.INT, HostSummary::statusDigest, 0),
			RecordType.optional(BasicTypes.LONG, HostSummary::ageMillis, 0L));

	private static final int INCARNATION_ELEMENT_COUNT = 2;

	private CoreTypes() {
	}

	/**
	 * Adds the failure domain to a decoded summary. The domain is encoded once for all
	 * hosts of a domain.
	 * @param domain the failure domain
	 * @param summary the decoded summary, without a domain
	 * @return the completed summary
	 */
	static HostSummary withDomain(String domain, HostSummary summary) {
		EntryHost host = new EntryHost(domain, summary.host().peerAddress(), summary.host().incarnation());
		return new HostSummary(host, summary.sequence(), summary.status(), summary.statusDigest(), summary.ageMillis());
	}

	private static void writeIncarnation(MessagePacker out, Incarnation incarnation) throws IOException {
		out.packArrayHeader(INCARNATION_ELEMENT_COUNT);
		out.packLong(incarnation.startEpochMillis());
		out.packLong(incarnation.randomBits());
	}

	private static Incarnation readIncarnation(BoundedUnpacker in) throws IOException {
		if (in.readArrayHeader() != INCARNATION_ELEMENT_COUNT) {
			throw new MalformedMessageException("Wrong number of elements in an incarnation", null);
		}
		return new Incarnation(in.readLong(), in.readLong());
	}

	private static void writeAddress(MessagePacker out, HostAddress address) throws IOException {
		byte[] packed = PackedAddress.pack(address);
		if (packed.length == 0) {
			out.packString(address.toString());
			return;
		}
		out.packBinaryHeader(packed.length);
		out.writePayload(packed);
	}

	private static HostAddress readAddress(BoundedUnpacker in) throws IOException {
		if (in.nextFormat().getValueType() == ValueType.STRING) {
			return HostAddress.parse(in.readText());
		}
		return PackedAddress.unpack(in.readBytes());
	}

}
