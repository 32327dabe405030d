package org.masticwick.daemon.connection.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.masticwick.core.process.ErrorCode;

/**
 * Puts the parts of a request together in memory, and refuses one that is too large as
 * soon as that is known.
 */
final class RequestAssembler extends HttpObjectAggregator {

	private static final Rejection NO_MEMORY = new Rejection(ErrorCode.OVERLOADED,
			"Too many large requests are being served", true);

	private final Rejection tooLarge;

	private final ProblemBodyWriter problem;

	private final RequestQueue queue;

	RequestAssembler(EdgeSettings settings, RequestQueue queue) {
		super(settings.maxBodyBytes(), true);
		this.queue = queue;
		this.problem = settings.problemBodyWriter();
		this.tooLarge = new Rejection(ErrorCode.REQUEST_TOO_LARGE,
				"The body is larger than " + settings.maxBodyBytes() + " bytes", true);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
		ctx.fireChannelRead(this.tooLarge);
	}

	@Override
	protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
		super.aggregate(aggregated, content);
		if (!this.queue.hold(content.content().readableBytes())) {
			this.queue.reject(NO_MEMORY);
		}
	}

	@Override
	protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		Object response = super.newContinueResponse(start, maxContentLength, pipeline);
		boolean refused = response instanceof FullHttpResponse full
				&& full.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		return refused ? this.tooLarge.response(this.problem) : response;
	}

}
