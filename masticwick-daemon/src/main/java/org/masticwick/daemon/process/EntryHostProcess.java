package org.masticwick.daemon.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.MembershipLimits;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.Schedulers;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.request.TicketMint;
import org.masticwick.daemon.connection.EndpointLimits;
import org.masticwick.daemon.connection.NamedThreads;
import org.masticwick.daemon.connection.OkHttpEndpointClient;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.request.Collector;
import org.masticwick.daemon.request.Dispatcher;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.JobRequestReader;
import org.masticwick.daemon.request.JobService;
import org.masticwick.daemon.request.RequestLimits;
import org.masticwick.daemon.request.RequestRouter;
import org.masticwick.daemon.request.RoutedRequest;
import org.masticwick.daemon.request.TaskFinder;
import org.masticwick.daemon.request.TicketBooks;
import org.masticwick.daemon.request.TicketIssuer;
import org.masticwick.daemon.request.TicketTransfer;
import org.masticwick.daemon.version.FollowerSettings;
import org.masticwick.daemon.version.HostListFollower;
import org.masticwick.daemon.version.LogFollower;
import org.masticwick.daemon.version.RecentRecords;
import org.masticwick.daemon.version.RecordRelay;
import org.masticwick.daemon.version.VersionRegistry;
import org.masticwick.platform.HttpPlatformClient;
import org.masticwick.platform.HttpPlatformSettings;
import org.masticwick.platform.PlatformHost;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Ties the parts of an entry host together, from the start of the process to its planned
 * stop.
 */
public final class EntryHostProcess {

	private static final Logger logger = LoggerFactory.getLogger(EntryHostProcess.class);

	private EntryHostProcess() {
	}

}
