package org.masticwick.fleet.process;

import java.io.IOException;
import java.util.Comparator;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.version.InvalidRecordException;

/**
 * The description that an entry host writes of itself to the log, as a member or as the
 * owner of a pool.
 *
 * @param hostName the name of the host
 * @param domain its failure domain
 * @param peerAddress where its peers connect
 * @param incarnation the incarnation of the host
 * @param processorMillicores its processor capacity, in thousandths of a core
 */
record MemberRecord(String hostName, String domain, HostAddress peerAddress, Incarnation incarnation,
		int processorMillicores) {

	/**
	 * The preference among possible owners: by processor capacity, highest first, then by
	 * name.
	 */
	static final Comparator<MemberRecord> STRONGEST_FIRST = Comparator.comparingInt(MemberRecord::processorMillicores)
		.reversed()
		.thenComparing(MemberRecord::hostName);

	private static final int FIELD_COUNT = 5;

	/**
	 * The maximum processor capacity of a host, in thousandths of a core: 100,000 cores,
	 * more than any host has. The strongest host owns the pools.
	 */
	private static final int MAX_PROCESSOR_MILLICORES = 100_000_000;

	byte[] toBytes() {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			write(out);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new InvalidRecordException("Member record can't be encoded: " + ex.getMessage());
		}
	}

	void write(MessagePacker out) throws IOException {
		out.packArrayHeader(FIELD_COUNT);
		out.packString(this.hostName);
		out.packString(this.domain);
		out.packString(this.peerAddress.toString());
		out.packString(this.incarnation.toString());
		out.packInt(this.processorMillicores);
	}

	static MemberRecord read(MessageUnpacker in) throws IOException {
		if (in.unpackArrayHeader() != FIELD_COUNT) {
			throw new InvalidRecordException("Member record has a wrong number of fields");
		}
		return new MemberRecord(in.unpackString(), in.unpackString(), HostAddress.parseIpv4(in.unpackString()),
				Incarnation.parse(in.unpackString()), checkMillicores(in.unpackInt()));
	}

	private static int checkMillicores(int processorMillicores) {
		if (processorMillicores < 0 || processorMillicores > MAX_PROCESSOR_MILLICORES) {
			throw new InvalidRecordException("Member record has an impossible capacity: " + processorMillicores);
		}
		return processorMillicores;
	}

	static MemberRecord read(byte[] bytes) {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			return read(in);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new InvalidRecordException("Member record can't be decoded: " + ex.getMessage());
		}
	}

}
