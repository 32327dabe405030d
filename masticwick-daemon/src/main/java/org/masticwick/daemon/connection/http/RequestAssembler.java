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
 * Aggregates the parts of a request in memory, and rejects a request as soon as its body
 * exceeds the size limit or the server's budget for bodies.
 */
final class RequestAssembler extends HttpObjectAggregator {

	private static final Rejection BODY_BUDGET_EXHAUSTED = new Rejection(ErrorCode.OVERLOADED,
			"The server's memory for request bodies is exhausted by requests in progress", true);

	private final Rejection tooLarge;

	private final ProblemBodyWriter problemBodyWriter;

	private final RequestQueue queue;

	RequestAssembler(EdgeSettings settings, RequestQueue queue) {
		super(settings.maxBodyBytes(), true);
		this.queue = queue;
		this.problemBodyWriter = settings.problemBodyWriter();
		this.tooLarge = new Rejection(ErrorCode.REQUEST_TOO_LARGE,
				"The request body is larger than the limit of " + settings.maxBodyBytes() + " bytes", true);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
		ctx.fireChannelRead(this.tooLarge);
	}

	@Override
	protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
		super.aggregate(aggregated, content);
		if (!this.queue.reserveBody(content.content().readableBytes())) {
			this.queue.reject(BODY_BUDGET_EXHAUSTED);
		}
	}

	@Override
	protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		Object response = super.newContinueResponse(start, maxContentLength, pipeline);
		boolean refused = response instanceof FullHttpResponse full
				&& full.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		return refused ? this.tooLarge.response(this.problemBodyWriter) : response;
	}

}
