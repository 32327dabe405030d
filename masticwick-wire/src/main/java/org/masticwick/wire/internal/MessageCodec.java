package org.masticwick.wire.internal;

import java.io.IOException;
import java.util.Optional;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

import org.masticwick.core.process.MasticwickException;
import org.masticwick.wire.MalformedMessageException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.internal.Envelope.Problem;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Turns messages to MessagePack and back. A message is an array of the number of its
 * kind, its role, its correlation id and the map of its fields; further elements are
 * passed over.
 */
public final class MessageCodec {

	private static final int ELEMENT_COUNT = 4;

	private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(512);

	private MessageCodec() {
	}

	/**
	 * Writes a message.
	 * @param envelope the message
	 * @return the bytes
	 */
	static byte[] encode(Envelope envelope) {
		try (MessageBufferPacker out = PACKER.newBufferPacker()) {
			MessageKind kind = MessageKind.of(envelope.message());
			out.packArrayHeader(ELEMENT_COUNT);
			out.packInt(kind.number());
			out.packInt(envelope.role().ordinal());
			out.packLong(envelope.correlationId());
			kind.type().write(out, envelope.message());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new MalformedMessageException("Message can't be written: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns how many bytes a message takes on the wire.
	 * @param message the message
	 * @return the size in bytes, with the length in front of the message
	 */
	public static int frameBytes(PeerMessage message) {
		return FrameDecoder.HEADER_BYTES + encode(Envelope.of(Role.ONE_WAY, 0, message)).length;
	}

	/**
	 * Reads a message. One with wrong fields or of an unknown kind is returned with its
	 * problem, so that it can be answered.
	 * @param bytes the bytes
	 * @return the message
	 * @throws MalformedMessageException if not even the envelope can be read
	 */
	static Envelope decode(byte[] bytes) {
		BoundedUnpacker in = new BoundedUnpacker(bytes, 0, bytes.length);
		try {
			if (in.readArrayHeader() < ELEMENT_COUNT) {
				throw new MalformedMessageException("Too few elements", null);
			}
			int number = in.readInt();
			Role role = BasicTypes.enumeration(Role.values()).read(in);
			return decodeBody(in, number, role, in.readLong());
		}
		catch (IOException | MessagePackException ex) {
			throw new MalformedMessageException("Not a message: " + ex.getClass().getSimpleName(), ex);
		}
	}

	private static Envelope decodeBody(BoundedUnpacker in, int number, Role role, long correlationId) {
		Optional<MessageKind> kind = MessageKind.ofNumber(number);
		if (kind.isEmpty()) {
			return new Envelope(role, correlationId, number, null, Problem.UNKNOWN_KIND);
		}
		try {
			PeerMessage message = kind.get().type().read(in);
			return new Envelope(role, correlationId, number, message, null);
		}
		catch (IOException | MessagePackException | MasticwickException | IllegalArgumentException ex) {
			return new Envelope(role, correlationId, number, null, Problem.MALFORMED);
		}
	}

}
