package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.ProtocolVersion;

/**
 * A simulated connection that one host has opened to another. Its messages arrive in
 * their order; it is closed when no answer and no pong arrives within the idle timeout.
 */
final class VirtualConnection {

	private static final long OPEN_TIMEOUT_MILLIS = 1_000;

	private static final long IDLE_CHECK_MILLIS = PeerTable.PEER_TIMEOUT_MILLIS / 2;

	private static final int MAX_WAITING_MESSAGE_COUNT = 64;

	private final VirtualNetwork network;

	private final VirtualNetwork.Node opener;

	private final VirtualNetwork.Node acceptor;

	private final long createdMicros;

	private final List<Runnable> waitingMessages = new ArrayList<>();

	private final Map<Long, CompletableFuture<PeerMessage>> pendingCalls = new LinkedHashMap<>();

	private final Runnable onFailedToOpen;

	private State state = State.OPENING;

	/** Whether what is under way still arrives. */
	private boolean delivering = true;

	private long nextCallNumber;

	private long lastArrivalMicros;

	private long lastAnswerArrivalMicros;

	private long lastReadMicros;

	private boolean pinged;

	private boolean idleCheckRunning;

	VirtualConnection(VirtualNetwork network, VirtualNetwork.Node opener, VirtualNetwork.Node acceptor,
			Runnable onFailedToOpen) {
		this.network = network;
		this.opener = opener;
		this.acceptor = acceptor;
		this.onFailedToOpen = onFailedToOpen;
		this.createdMicros = network.time().nowMicros();
		network.opened(this);
		forward(this::acceptHello);
		opener.eventLoop().schedule(this::failToOpen, OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	boolean isClosed() {
		return this.state == State.CLOSED;
	}

	boolean isBetween(HostAddress address) {
		return this.opener.address().equals(address) || this.acceptor.address().equals(address);
	}

	boolean isOlderThan(long ageMillis) {
		return this.network.time().nowMicros() - this.createdMicros > TimeUnit.MILLISECONDS.toMicros(ageMillis);
	}

	CompletableFuture<PeerMessage> call(PeerMessage request) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		long callNumber = this.nextCallNumber++;
		this.pendingCalls.put(callNumber, answer);
		whenOpen(() -> forward(() -> answerCall(callNumber, request)));
		return answer;
	}

	void send(PeerMessage message) {
		if (this.state == State.OPEN || this.waitingMessages.size() < MAX_WAITING_MESSAGE_COUNT) {
			whenOpen(() -> forward(() -> this.acceptor.handler().handle(message, this.opener.address())));
		}
	}

	private void whenOpen(Runnable message) {
		if (this.state == State.OPENING) {
			this.waitingMessages.add(message);
		}
		else {
			message.run();
			checkIdle();
		}
	}

	private void acceptHello() {
		this.acceptor.handler().handle(hello(this.opener), this.opener.address());
		backward(this::completeOpening);
	}

	private static PeerMessage hello(VirtualNetwork.Node node) {
		return new PeerMessage.Hello(node.identity(), ProtocolVersion.CURRENT, ProtocolVersion.OLDEST);
	}

	private void completeOpening() {
		if (this.state != State.OPENING) {
			return;
		}
		this.state = State.OPEN;
		this.opener.handler().handle(hello(this.acceptor), this.acceptor.address());
		List.copyOf(this.waitingMessages).forEach(Runnable::run);
		this.waitingMessages.clear();
		checkIdle();
	}

	private void failToOpen() {
		if (this.state == State.OPENING) {
			this.onFailedToOpen.run();
			close(false);
		}
	}

	private void answerCall(long callNumber, PeerMessage request) {
		CompletionStage<PeerMessage> stage = this.acceptor.handler().handle(request, this.opener.address());
		stage.whenComplete((answer, error) -> {
			PeerMessage sent = (answer != null) ? answer
					: new PeerMessage.ErrorAnswer(PeerErrorCodes.UNKNOWN_MESSAGE, "No answer");
			backward(() -> complete(callNumber, sent));
		});
	}

	private void complete(long callNumber, PeerMessage answer) {
		CompletableFuture<PeerMessage> call = this.pendingCalls.remove(callNumber);
		if (call != null) {
			call.complete(answer);
		}
	}

	// A host that is gone resets the connection, as its kernel does.
	private void forward(Runnable action) {
		this.lastArrivalMicros = Math.max(this.lastArrivalMicros + 1,
				this.network.arrivalMicros(this.opener.address(), this.acceptor.address()));
		this.network.time().after(this.lastArrivalMicros - this.network.time().nowMicros(), () -> {
			if (this.acceptor.eventLoop().isEnded()) {
				reset();
			}
			else if (this.delivering) {
				this.acceptor.eventLoop().execute(action);
			}
		});
	}

	private void backward(Runnable action) {
		this.lastAnswerArrivalMicros = Math.max(this.lastAnswerArrivalMicros + 1,
				this.network.arrivalMicros(this.acceptor.address(), this.opener.address()));
		this.network.time().after(this.lastAnswerArrivalMicros - this.network.time().nowMicros(), () -> {
			if (this.delivering && this.state != State.CLOSED) {
				this.opener.eventLoop().execute(() -> {
					this.lastReadMicros = this.network.time().nowMicros();
					if (this.state != State.CLOSED) {
						action.run();
					}
				});
			}
		});
	}

	private void checkIdle() {
		if (!this.idleCheckRunning && this.state == State.OPEN && !this.pendingCalls.isEmpty()) {
			this.idleCheckRunning = true;
			this.pinged = false;
			long checkedMicros = this.network.time().nowMicros();
			this.opener.eventLoop().schedule(() -> pingIfIdle(checkedMicros), IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void pingIfIdle(long checkedMicros) {
		if (this.state != State.OPEN || this.pendingCalls.isEmpty()) {
			this.idleCheckRunning = false;
			return;
		}
		boolean idle = this.lastReadMicros < checkedMicros;
		if (idle && this.pinged) {
			close(true);
			return;
		}
		this.pinged = idle;
		if (idle) {
			forward(() -> backward(() -> {
			}));
		}
		long nowMicros = this.network.time().nowMicros();
		this.opener.eventLoop().schedule(() -> pingIfIdle(nowMicros), IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Breaks the connection: what is under way is lost, and the opener is told.
	 */
	void reset() {
		this.delivering = false;
		if (this.state != State.CLOSED) {
			this.network.time()
				.after(this.network.arrivalMicros(this.acceptor.address(), this.opener.address())
						- this.network.time().nowMicros(),
						() -> this.opener.eventLoop().execute(this::closeAfterReset));
		}
	}

	private void closeAfterReset() {
		if (this.state == State.OPENING) {
			failToOpen();
		}
		else {
			close(true);
		}
	}

	/**
	 * Closes the connection from the side of its opener, which discards what has not
	 * arrived.
	 * @param told whether the handler of the opener is told
	 */
	void close(boolean told) {
		if (this.state == State.CLOSED) {
			return;
		}
		boolean wasOpen = this.state == State.OPEN;
		this.state = State.CLOSED;
		this.delivering = false;
		this.waitingMessages.clear();
		List<CompletableFuture<PeerMessage>> failedCalls = List.copyOf(this.pendingCalls.values());
		this.pendingCalls.clear();
		failedCalls
			.forEach((call) -> call.completeExceptionally(new PeerException("The connection was lost", null, wasOpen)));
		if (told && wasOpen) {
			this.opener.handler().disconnected(this.acceptor.address());
		}
	}

	private enum State {

		/** The handshake is under way. */
		OPENING,

		/** Messages are exchanged. */
		OPEN,

		/** The opener has closed the connection. */
		CLOSED

	}

}
