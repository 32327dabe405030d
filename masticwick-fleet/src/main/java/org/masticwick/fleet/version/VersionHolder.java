package org.masticwick.fleet.version;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the active version, by which the host serves requests. The number of the active
 * version never decreases while the process runs.
 */
public final class VersionHolder {

	private static final Logger logger = LoggerFactory.getLogger(VersionHolder.class);

	private final SiteFormat format;

	private final SkippedRecords skippedRecords = new SkippedRecords();

	private final AtomicReference<PublishedVersion> active = new AtomicReference<>();

	/**
	 * Creates a holder without a version.
	 * @param format parses published versions
	 */
	public VersionHolder(SiteFormat format) {
		this.format = format;
	}

	/**
	 * Parses a published version and activates it if its number is higher than the active
	 * one's. Bytes that can't be parsed are logged and ignored.
	 * @param content the published bytes
	 * @param source where the bytes were received from, for log events
	 * @return whether the version was activated
	 */
	public boolean activateIfNewer(byte[] content, String source) {
		SiteVersion version;
		try {
			version = this.format.readVersion(content);
		}
		catch (InvalidRecordException ex) {
			logSkipped(source, ex.getMessage());
			return false;
		}
		this.skippedRecords.remove(source);
		long previousNumber = activeNumber();
		if (version.number() <= previousNumber) {
			return false;
		}
		this.active.set(new PublishedVersion(version, content));
		logger.atInfo()
			.addKeyValue("version", version.number())
			.addKeyValue("before", previousNumber)
			.addKeyValue("queues", version.queues().size())
			.addKeyValue("source", source)
			.log("Published version activated; requests are now served by it");
		return true;
	}

	private void logSkipped(String source, String reason) {
		if (this.skippedRecords.add(source, reason)) {
			logger.atWarn()
				.addKeyValue("source", source)
				.addKeyValue("active", activeNumber())
				.addKeyValue("reason", reason)
				.log("Published version can't be parsed; ignoring it and keeping the active version");
		}
	}

	/**
	 * Returns the active version.
	 * @return the version, or empty if none has been received yet
	 */
	public Optional<SiteVersion> activeVersion() {
		return Optional.ofNullable(this.active.get()).map(PublishedVersion::version);
	}

	/**
	 * Returns the number of the active version.
	 * @return the number, or 0 if no version has been received yet
	 */
	public long activeNumber() {
		PublishedVersion published = this.active.get();
		return (published != null) ? published.version().number() : 0;
	}

	/**
	 * Returns the bytes of the active version as they were published.
	 * @return the bytes, or empty if no version has been received yet
	 */
	public Optional<byte[]> activeContent() {
		return Optional.ofNullable(this.active.get()).map(PublishedVersion::content);
	}

	private record PublishedVersion(SiteVersion version, byte[] content) {
	}

}
