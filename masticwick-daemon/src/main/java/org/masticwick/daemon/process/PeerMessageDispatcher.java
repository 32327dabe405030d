package org.masticwick.daemon.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.version.LogRecord;
import org.masticwick.daemon.connection.HeartbeatService;
import org.masticwick.daemon.request.RequestRouter;
import org.masticwick.daemon.request.RoutedRequest;
import org.masticwick.daemon.request.TicketTransfer;
import org.masticwick.daemon.version.RecordRelay;
import org.masticwick.daemon.version.RelayedRecords;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.FetchRecords;
import org.masticwick.wire.PeerMessage.Forward;
import org.masticwick.wire.PeerMessage.ForwardOperation;
import org.masticwick.wire.PeerMessage.InheritTickets;
import org.masticwick.wire.PeerMessage.Pong;
import org.masticwick.wire.PeerMessage.RecordEntry;
import org.masticwick.wire.PeerMessage.Records;
import org.masticwick.wire.PeerMessageHandler;

/**
 * Dispatches each message of a peer to the component that handles it. Requests that may
 * block or take long are handled by worker threads, so that they don't delay other
 * messages of the connection.
 */
final class PeerMessageDispatcher implements PeerMessageHandler {

	private final Executor workers;

	private final RequestRouter router;

	private final TicketTransfer ticketTransfer;

	private final RecordRelay recordRelay;

	private final HeartbeatService heartbeatService;

	PeerMessageDispatcher(Executor workers, RequestRouter router, TicketTransfer ticketTransfer,
			RecordRelay recordRelay, HeartbeatService heartbeatService) {
		this.workers = workers;
		this.router = router;
		this.ticketTransfer = ticketTransfer;
		this.recordRelay = recordRelay;
		this.heartbeatService = heartbeatService;
	}

	@Override
	public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
		if (message instanceof Forward forward && forward.operation() == ForwardOperation.ISSUE) {
			return runOnWorker(() -> this.router.issueForwarded(forward.body()));
		}
		if (message instanceof Forward forward) {
			return runOnWorker(() -> this.router.serveForwarded(new RoutedRequest(forward.operation(),
					Ticket.parse(forward.ticket()), forward.body(), forward.waitMillis())));
		}
		if (message instanceof InheritTickets inherit) {
			return runOnWorker(() -> CompletableFuture.completedFuture(this.ticketTransfer.inherit(inherit)));
		}
		if (message instanceof CloseTickets close) {
			return runOnWorker(() -> {
				this.ticketTransfer.close(close);
				return CompletableFuture.completedFuture(new Pong());
			});
		}
		if (message instanceof FetchRecords fetch) {
			return runOnWorker(() -> CompletableFuture.completedFuture(fetchRecords(fetch)));
		}
		this.heartbeatService.handle(message, from);
		return null;
	}

	@Override
	public void disconnected(HostAddress peer) {
		this.heartbeatService.disconnected(peer);
	}

	private CompletionStage<PeerMessage> runOnWorker(Supplier<CompletionStage<PeerMessage>> handler) {
		return CompletableFuture.supplyAsync(handler, this.workers).thenCompose(Function.identity());
	}

	private PeerMessage fetchRecords(FetchRecords fetch) {
		return toMessage(this.recordRelay.answerFetch(fetch.fromOffset(), fetch.maxRecordCount()));
	}

	private static Records toMessage(RelayedRecords relayed) {
		List<RecordEntry> entries = relayed.records()
			.stream()
			.map((record) -> new RecordEntry(record.offset(), record.value()))
			.toList();
		return new Records(entries, relayed.state(), relayed.stateOffset(), relayed.fromOffset(), relayed.fromHash());
	}

	/**
	 * Decodes log records that a peer sent.
	 * @param message the message
	 * @return the records, or the state that replaces them
	 */
	static RelayedRecords fromMessage(Records message) {
		List<LogRecord> records = message.records()
			.stream()
			.map((entry) -> new LogRecord(entry.offset(), entry.value()))
			.toList();
		return new RelayedRecords(message.fromOffset(), message.fromHash(), records, message.snapshotOffset(),
				message.snapshot());
	}

}
