package org.masticwick.daemon.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;

/**
 * Endpoint client whose calls never complete.
 */
public final class UnresponsiveEndpoint implements EndpointClient {

	@Override
	public PendingPost post(TaskPost post) {
		return new PendingPost() {

			@Override
			public CompletableFuture<PostReply> reply() {
				return new CompletableFuture<>();
			}

			@Override
			public boolean withdraw() {
				return false;
			}

			@Override
			public void abandon() {
			}

		};
	}

	@Override
	public CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task) {
		return new CompletableFuture<>();
	}

	@Override
	public void cancel(HostAddress endpoint, List<TaskId> tasks) {
	}

	@Override
	public void close() {
	}

}
