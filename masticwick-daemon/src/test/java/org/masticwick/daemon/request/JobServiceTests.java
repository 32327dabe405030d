package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.Schedulers;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.daemon.connection.UnresponsiveEndpoint;
import org.masticwick.daemon.process.metrics.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link JobService}.
 */
class JobServiceTests {

	private static final EntryHost HOME = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static final HostAddress ENDPOINT = new HostAddress("127.0.0.1", 9000);

	private static final byte[] BODY = "{\"service\":\"s\",\"team\":\"t\",\"tasks\":[{\"kind\":\"k\"}]}"
		.getBytes(StandardCharsets.UTF_8);

	private final TimeSource time = TimeSource.system();

	private final TicketRegistry book = new TicketRegistry(new TicketFactory(HOME, TicketKey.random(), 0), this.time,
			0);

	private final Ticket ticket = this.book.issue(1, Long.MAX_VALUE / 2).get(0);

	private Dispatcher dispatcher() {
		SiteVersion version = new SiteVersion(1, Map.of("s", new ServiceSpec("s", Set.of(), true, 9_000)),
				Map.of(ENDPOINT, new EndpointSpec(ENDPOINT, "hobart", "r", "s", 1, 1, 1, 1, 0)), Rules.NONE);
		Scheduler scheduler = Schedulers.create(SchedulerSettings.defaults(), "hobart", HOME,
				RandomGenerator.of("L64X128MixRandom"));
		scheduler.updateVersion(version, this.time.nanoTime());
		return new Dispatcher(scheduler, new UnresponsiveEndpoint(), () -> version, this.time, new Metrics(),
				Duration.ofMinutes(1).toMillis());
	}

	@Test
	void cancelsAJobThatIsJustBeingTaken() throws Exception {
		AtomicReference<JobService> service = new AtomicReference<>();
		JobRequestReader reader = new JobRequestReader(new RequestLimits(1_000, 100, 10, 60_000, 60_000, 1_000));
		try (Dispatcher dispatcher = dispatcher()) {
			service.set(new JobService(reader, dispatcher, () -> {
				service.get().cancel(this.book, this.ticket);
				return true;
			}, () -> false, this.time));
			HttpAnswer answer = service.get().submit(this.book, this.ticket, BODY).get(10, TimeUnit.SECONDS);
			assertThat(answer.body()).asString(StandardCharsets.UTF_8).contains("cancelled");
		}
	}

}
