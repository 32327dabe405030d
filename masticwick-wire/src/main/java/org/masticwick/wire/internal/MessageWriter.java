package org.masticwick.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.TrafficCounters;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Writes messages to one connection.
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
	 * @param role whether the message asks, answers or neither
	 * @param correlationId the number that request and answer share
	 * @param message the message
	 * @return ends when the message has been handed to the system
	 * @throws PeerException if the message is too large
	 */
	ChannelFuture write(Role role, long correlationId, PeerMessage message) {
		byte[] bytes = MessageCodec.encode(Envelope.of(role, correlationId, message));
		MessageKind kind = MessageKind.of(message);
		if (bytes.length > MessageKind.maxBytes(kind.number())) {
			throw new PeerException(kind.typeName() + " of " + bytes.length + " bytes is too large", null, false);
		}
		int frameBytes = FrameDecoder.HEADER_BYTES + bytes.length;
		this.traffic.sent(kind.typeName(), frameBytes);
		ByteBuf frame = this.channel.alloc().ioBuffer(frameBytes, frameBytes);
		frame.writeInt(bytes.length).writeBytes(bytes);
		return this.channel.writeAndFlush(frame);
	}

}
