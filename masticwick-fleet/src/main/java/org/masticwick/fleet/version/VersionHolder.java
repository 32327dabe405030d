package org.masticwick.fleet.version;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the version in force. Its number only grows in one run of the process.
 */
public final class VersionHolder {

	private static final Logger logger = LoggerFactory.getLogger(VersionHolder.class);

	private final SiteFormat format;

	private final AtomicReference<Published> current = new AtomicReference<>();

	/**
	 * Creates a holder without a version.
	 * @param format reads published versions
	 */
	public VersionHolder(SiteFormat format) {
		this.format = format;
	}

	/**
	 * Takes published bytes, and puts them in force if they are newer than what is.
	 * @param content the published bytes
	 * @param source where they come from, for the log
	 * @return whether a new version is in force
	 */
	public boolean activateIfNewer(byte[] content, String source) {
		SiteVersion version;
		try {
			version = this.format.readVersion(content);
		}
		catch (InvalidRecordException ex) {
			logger.atWarn()
				.addKeyValue("source", source)
				.addKeyValue("reason", ex.getMessage())
				.log("Published version passed over");
			return false;
		}
		long before = activeNumber();
		if (version.number() <= before) {
			return false;
		}
		this.current.set(new Published(version, content));
		logger.atInfo()
			.addKeyValue("version", version.number())
			.addKeyValue("before", before)
			.addKeyValue("queues", version.queues().size())
			.addKeyValue("source", source)
			.log("Version in force");
		return true;
	}

	/**
	 * Returns the version in force.
	 * @return the version, or empty if none is known yet
	 */
	public Optional<SiteVersion> activeVersion() {
		return Optional.ofNullable(this.current.get()).map(Published::version);
	}

	/**
	 * Returns the number of the version in force.
	 * @return the number, or 0 if none is known yet
	 */
	public long activeNumber() {
		Published published = this.current.get();
		return (published != null) ? published.version().number() : 0;
	}

	/**
	 * Returns the version in force as it was published.
	 * @return the bytes, or empty if none is known yet
	 */
	public Optional<byte[]> activeContent() {
		return Optional.ofNullable(this.current.get()).map(Published::content);
	}

	private record Published(SiteVersion version, byte[] content) {
	}

}
