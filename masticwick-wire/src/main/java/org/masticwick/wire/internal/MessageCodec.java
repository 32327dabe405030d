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
 * Encodes messages as MessagePack and decodes them. A message is an array of its kind
 * number, its role, its correlation id and the map of its fields; any further elements
 * are ignored.
 */
public final class MessageCodec {

	private static final int ELEMENT_COUNT = 4;

	private static final MessagePack.PackerConfig PACKER_CONFIG = new MessagePack.PackerConfig().withBufferSize(512);

	private MessageCodec() {
	}

	/**
	 * Encodes a message.
	 * @param envelope the message with its role and correlation id
	 * @return the bytes
	 * @throws MalformedMessageException if the message can't be encoded
	 */
	static byte[] encode(Envelope envelope) {
		try (MessageBufferPacker out = PACKER_CONFIG.newBufferPacker()) {
			MessageKind kind = MessageKind.of(envelope.message());
			out.packArrayHeader(ELEMENT_COUNT);
			out.packInt(kind.number());
			out.packInt(envelope.role().ordinal());
			out.packLong(envelope.correlationId());
			kind.type().write(out, envelope.message());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new MalformedMessageException("Can't encode the message: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the size of a message without an answer on the wire.
	 * @param message the message
	 * @return the size in bytes, including the length field before the message
	 */
	public static int frameBytes(PeerMessage message) {
		return FrameDecoder.HEADER_BYTES + encode(Envelope.of(Role.ONE_WAY, 0, message)).length;
	}

	/**
	 * Decodes a message. If its kind is unknown or its fields are invalid, the envelope
	 * is returned with the problem instead of the message, so that a request can be
	 * answered.
	 * @param bytes the bytes
	 * @return the envelope
	 * @throws MalformedMessageException if the envelope itself can't be decoded
	 */
	static Envelope decode(byte[] bytes) {
		BoundedUnpacker in = new BoundedUnpacker(bytes, 0, bytes.length);
		try {
			if (in.readArrayHeader() < ELEMENT_COUNT) {
				throw new MalformedMessageException("The message envelope has too few elements", null);
			}
			int kindNumber = in.readInt();
			Role role = BasicTypes.enumeration(Role.values()).read(in);
			return decodeFields(in, kindNumber, role, in.readLong());
		}
		catch (IOException | MessagePackException ex) {
			throw new MalformedMessageException("Can't decode the message envelope: " + ex.getClass().getSimpleName(),
					ex);
		}
	}

	private static Envelope decodeFields(BoundedUnpacker in, int kindNumber, Role role, long correlationId) {
		Optional<MessageKind> kind = MessageKind.ofNumber(kindNumber);
		if (kind.isEmpty()) {
			return new Envelope(role, correlationId, kindNumber, null, Problem.UNKNOWN_KIND);
		}
		try {
			PeerMessage message = kind.get().type().read(in);
			return new Envelope(role, correlationId, kindNumber, message, null);
		}
		catch (IOException | MessagePackException | MasticwickException | IllegalArgumentException ex) {
			return new Envelope(role, correlationId, kindNumber, null, Problem.MALFORMED);
		}
	}

}
