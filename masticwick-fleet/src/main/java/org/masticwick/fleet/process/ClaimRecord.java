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
 * The value of a claim's record in the log. Its key names the pool.
 *
 * @param owner the host that claims the pool
 * @param standbyHostNames the names of the standbys, in the order of their ranks
 */
record ClaimRecord(MemberRecord owner, List<String> standbyHostNames) {

	byte[] toBytes() {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			this.owner.write(out);
			out.packArrayHeader(this.standbyHostNames.size());
			for (String standbyHostName : this.standbyHostNames) {
				out.packString(standbyHostName);
			}
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new InvalidRecordException("Claim of a pool can't be encoded: " + ex.getMessage());
		}
	}

	static ClaimRecord read(byte[] bytes) {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			MemberRecord owner = MemberRecord.read(in);
			int count = in.unpackArrayHeader();
			List<String> standbyHostNames = new ArrayList<>();
			for (int index = 0; index < count && index < PoolClaim.MAX_STANDBYS; index++) {
				standbyHostNames.add(in.unpackString());
			}
			return new ClaimRecord(owner, standbyHostNames);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new InvalidRecordException("Claim of a pool can't be decoded: " + ex.getMessage());
		}
	}

}
