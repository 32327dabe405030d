package org.masticwick.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Cuts the bytes of a connection into messages, each after its length in four bytes. A
 * frame that is longer than its kind of message may be is refused when its first bytes
 * have come; the first frame of a connection must be short, since nobody has said hello
 * yet.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

	/** The size of the length in front of each message, in bytes. */
	static final int HEADER_BYTES = Integer.BYTES;

	private static final int KIND_OFFSET_BYTES = HEADER_BYTES + 1;

	private static final int MAX_FIRST_BYTES = 64 * 1024;

	private boolean first = true;

	FrameDecoder() {
		super(MessageKind.LARGEST_MAX_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES);
	}

	@Override
	protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
		checkBound(in);
		Object frame = super.decode(ctx, in);
		this.first = this.first && frame == null;
		return frame;
	}

	private void checkBound(ByteBuf in) {
		if (in.readableBytes() <= KIND_OFFSET_BYTES) {
			return;
		}
		long lengthBytes = in.getUnsignedInt(in.readerIndex());
		int kindNumber = in.getUnsignedByte(in.readerIndex() + KIND_OFFSET_BYTES);
		long maxBytes = (this.first) ? MAX_FIRST_BYTES : MessageKind.maxBytes(kindNumber);
		if (lengthBytes > maxBytes) {
			throw new TooLongFrameException("Message of " + lengthBytes + " bytes");
		}
	}

}
