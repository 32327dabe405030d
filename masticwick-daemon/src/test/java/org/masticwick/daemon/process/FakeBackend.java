package org.masticwick.daemon.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.daemon.request.Answers;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.RoutedRequest;
import org.masticwick.wire.PeerMessage.ForwardOperation;

/**
 * A backend without an entry host. It answers requests at once with what it received,
 * except that submissions are answered when the test completes {@link #submissionAnswer}.
 * Its state dump always fails.
 */
final class FakeBackend implements ApiBackend {

	final CompletableFuture<HttpAnswer> submissionAnswer = new CompletableFuture<>();

	final List<RoutedRequest> receivedRequests = new CopyOnWriteArrayList<>();

	final List<String> refusalCodes = new CopyOnWriteArrayList<>();

	@Override
	public CompletableFuture<HttpAnswer> issueTickets(byte[] body) {
		return CompletableFuture.completedFuture(json("{\"body_bytes\":" + body.length + "}"));
	}

	@Override
	public CompletableFuture<HttpAnswer> serveJobRequest(RoutedRequest request) {
		this.receivedRequests.add(request);
		return (request.operation() == ForwardOperation.SUBMIT) ? this.submissionAnswer
				: CompletableFuture.completedFuture(Answers.running(request.operation().name()));
	}

	static HttpAnswer json(String text) {
		return HttpAnswer.json(200, text.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public HttpAnswer versionReport() {
		return json("{}");
	}

	@Override
	public HttpAnswer siteState() {
		return versionReport();
	}

	@Override
	public HttpAnswer noteReport(String noteId) {
		return json("{\"note\":\"" + noteId + "\"}");
	}

	@Override
	public boolean ready() {
		return false;
	}

	@Override
	public byte[] metrics() {
		return new byte[0];
	}

	@Override
	public void countRefusal(ErrorCode code) {
		this.refusalCodes.add(code.code());
	}

	@Override
	public HttpAnswer stateDump() {
		throw new IllegalStateException("broken on purpose");
	}

}
