package org.masticwick.fleet.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import org.masticwick.fleet.version.InvalidRecordException;

/**
 * The value of a claim in the shared log.
 *
 * @param owner who claims the pool
 * @param deputies the names of the deputies
 */
record ClaimRecord(MemberRecord owner, List<String> deputies) {

	byte[] toBytes() {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			this.owner.write(out);
			out.packArrayHeader(this.deputies.size());
			for (String deputy : this.deputies) {
				out.packString(deputy);
			}
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new InvalidRecordException("Claim can't be written: " + ex.getMessage());
		}
	}

	static ClaimRecord read(byte[] bytes) {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			MemberRecord owner = MemberRecord.read(in);
			int count = in.unpackArrayHeader();
			List<String> deputies = new ArrayList<>();
			for (int index = 0; index < count && index < PoolClaim.MAX_DEPUTIES; index++) {
				deputies.add(in.unpackString());
			}
			return new ClaimRecord(owner, deputies);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new InvalidRecordException("Claim can't be read: " + ex.getMessage());
		}
	}

}
