package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.FakePlatform;
import org.masticwick.platform.PlatformException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the parts of an entry host that follow release notes, without threads, and checks
 * after each step that nothing in force was taken back.
 */
final class SimulatedHost {

	static final FollowerSettings SETTINGS = new FollowerSettings(Duration.ZERO, Duration.ofMillis(100),
			Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofMinutes(10), 8);

	private final VersionRegistry registry = new VersionRegistry(new RecentRecords(16, 1_000_000));

	private final RecordRelay relay = new RecordRelay(this.registry);

	private final LogTracker tracker;

	private final Map<String, String> rulesSeen = new TreeMap<>();

	private long highestVersion;

	private boolean cut;

	SimulatedHost(FakePlatform platform, TimeSource time, Random random) {
		this.tracker = new LogTracker(platform, this.registry, SETTINGS, time, random);
	}

	VersionRegistry registry() {
		return this.registry;
	}

	void cut(boolean value) {
		this.cut = value;
	}

	void step() {
		try {
			if (this.cut) {
				this.tracker.failed();
			}
			else {
				this.tracker.step();
			}
		}
		catch (PlatformException ex) {
			this.tracker.failed();
		}
		check();
	}

	/**
	 * Has the follower learn that its connection to the log broke.
	 */
	void disconnect() {
		this.tracker.failed();
	}

	void fetchFrom(SimulatedHost peer, int limit) {
		if (!this.relay.shouldFetchFrom(peer.registry.position())) {
			return;
		}
		RecordRelay.ApplyResult applied = this.relay.apply(peer.relay.answerFetch(this.relay.fetchOffset(), limit));
		if (applied == RecordRelay.ApplyResult.STATE_NEEDED) {
			this.relay.apply(peer.relay.answerFetch(RecordRelay.STATE_REQUESTED, limit));
		}
		check();
	}

	/**
	 * Checks that the version grew and that every rule that a note added, none of which
	 * is withdrawn, is still in force.
	 */
	private void check() {
		SiteState state = this.registry.state();
		Map<String, String> rules = state.version().rules().values();
		assertThat(state.version().number()).isGreaterThanOrEqualTo(this.highestVersion);
		assertThat(rules).containsAllEntriesOf(this.rulesSeen);
		this.highestVersion = state.version().number();
		rules.entrySet()
			.stream()
			.filter((rule) -> rule.getKey().startsWith("limits/once-"))
			.forEach((rule) -> this.rulesSeen.put(rule.getKey(), rule.getValue()));
	}

}
