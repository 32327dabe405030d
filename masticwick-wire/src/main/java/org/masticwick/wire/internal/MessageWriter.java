package org.masticwick.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.TrafficCounters;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Encodes messages and writes them to one connection.
 */
final class MessageWriter {

	private final Channel channel;

	private final TrafficCounters traffic;

	MessageWriter(Channel channel, TrafficCounters traffic) {
		this.channel = channel;
		this.traffic = traffic;
	}

	/**
	 * Writes a message.
	 * @param role whether the message is a request, an answer or neither
	 * @param correlationId the number that request and answer share, 0 if neither
	 * @param message the message
	 * @return completes when the message has been passed to the operating system
	 * @throws PeerException if the message exceeds the size limit of its kind
	 */
	ChannelFuture write(Role role, long correlationId, PeerMessage message) {
		byte[] bytes = MessageCodec.encode(Envelope.of(role, correlationId, message));
		MessageKind kind = MessageKind.of(message);
		if (bytes.length > MessageKind.maxBytes(kind.number())) {
			throw new PeerException(kind.typeName() + " of " + bytes.length + " bytes exceeds the size limit", null,
					false);
		}
		int frameBytes = FrameDecoder.HEADER_BYTES + bytes.length;
		this.traffic.sent(kind.typeName(), frameBytes);
		ByteBuf frame = this.channel.alloc().ioBuffer(frameBytes, frameBytes);
		frame.writeInt(bytes.length).writeBytes(bytes);
		return this.channel.writeAndFlush(frame);
	}

}
