package org.masticwick.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Splits the received bytes into messages, each of which follows its length in four
 * bytes. A frame that exceeds the size limit of its message kind fails the connection as
 * soon as its first bytes have arrived. The limit of the first frame is lower, because
 * the peer has not completed the handshake yet.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

	/** The size of the length field before each message, in bytes. */
	static final int HEADER_BYTES = Integer.BYTES;

	/**
	 * Position of the kind number in a frame: after the length and the array header of
	 * the message.
	 */
	private static final int KIND_OFFSET_BYTES = HEADER_BYTES + 1;

	private static final int MAX_FIRST_FRAME_BYTES = 64 * 1024;

	private boolean awaitingFirstFrame = true;

	FrameDecoder() {
		super(MessageKind.MAX_MESSAGE_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES);
	}

	@Override
	protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
		checkLength(in);
		Object frame = super.decode(ctx, in);
		this.awaitingFirstFrame = this.awaitingFirstFrame && frame == null;
		return frame;
	}

	private void checkLength(ByteBuf in) {
		if (in.readableBytes() <= KIND_OFFSET_BYTES) {
			return;
		}
		long lengthBytes = in.getUnsignedInt(in.readerIndex());
		int kindNumber = in.getUnsignedByte(in.readerIndex() + KIND_OFFSET_BYTES);
		long maxBytes = (this.awaitingFirstFrame) ? MAX_FIRST_FRAME_BYTES : MessageKind.maxBytes(kindNumber);
		if (lengthBytes > maxBytes) {
			throw new TooLongFrameException("Message of " + lengthBytes + " bytes exceeds the size limit");
		}
	}

}
