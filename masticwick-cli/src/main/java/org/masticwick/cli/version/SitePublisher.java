package org.masticwick.cli.version;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.Random;

import okhttp3.HttpUrl;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.HttpPlatformClient;
import org.masticwick.platform.HttpPlatformSettings;
import org.masticwick.platform.LoadedLog;
import org.masticwick.platform.NotePublisher;
import org.masticwick.platform.PublishResult;
import org.masticwick.platform.SiteLogReader;

/**
 * Publishes release notes to a platform's log.
 */
public final class SitePublisher implements AutoCloseable {

	private final HttpPlatformClient platform;

	private final NotePublisher publisher;

	private final DrainPublisher drainPublisher;

	/**
	 * Creates a publisher.
	 * @param platform the URL of the platform
	 */
	public SitePublisher(HttpUrl platform) {
		HostAddress address = new HostAddress(platform.host(), platform.port());
		this.platform = new HttpPlatformClient(address, HttpPlatformSettings.DEFAULT);
		this.publisher = new NotePublisher(this.platform, TimeSource.system(), new Random());
		this.drainPublisher = new DrainPublisher(this.platform, TimeSource.system(), new SecureRandom());
	}

	/**
	 * Publishes a release note and reads the verdict on it.
	 * @param note the release note
	 * @param timeout how long to try before the verdict counts as pending
	 * @return the verdict; {@link PublishResult.Status#PENDING} if it is not known in
	 * time
	 */
	public PublishResult publish(ReleaseNote note, Duration timeout) {
		return this.publisher.publish(note, timeout);
	}

	/**
	 * Sets rules by a release note that is based on the active version. Publishes none if
	 * the rules already have these values.
	 * @param noteId the id of the release note
	 * @param rules the new values by name of the rule
	 * @param timeout how long to try before the verdict counts as pending
	 * @return the version in which the rules have these values
	 * @throws MasticwickException with {@link ErrorCode#NOTE_CONFLICT} if the release
	 * note was not accepted in time
	 */
	public long setRules(String noteId, Map<String, String> rules, Duration timeout) {
		SiteState state = new SiteLogReader(this.platform).load().map(LoadedLog::finalState).orElse(SiteState.EMPTY);
		Map<String, String> activeRules = state.version().rules().values();
		ReleaseNote.Builder noteBuilder = ReleaseNote.builder(noteId, state.version().number());
		rules.forEach((name, value) -> {
			if (!activeRules.containsKey(name)) {
				noteBuilder.addRule(name, value);
			}
			else if (!activeRules.get(name).equals(value)) {
				noteBuilder.changeRule(name, value);
			}
		});
		ReleaseNote note = noteBuilder.build();
		if (note.rules().isEmpty()) {
			return state.version().number();
		}
		PublishResult result = publish(note, timeout);
		if (result.status() != PublishResult.Status.ACCEPTED) {
			throw new MasticwickException(ErrorCode.NOTE_CONFLICT, noteId + " " + result);
		}
		return result.version();
	}

	/**
	 * Drains a failure domain or returns it to service.
	 * @param change the change
	 * @param timeout how long to try before the verdict counts as pending
	 * @return the result
	 * @throws UnknownDomainException if no capacity of the active version names the
	 * domain
	 * @throws MasticwickException with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the
	 * active version could not be read in time; nothing was published
	 */
	public DrainResult publish(DrainChange change, Duration timeout) {
		return this.drainPublisher.publish(change, timeout);
	}

	@Override
	public void close() {
		this.platform.close();
	}

}
