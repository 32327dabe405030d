package org.masticwick.core.version;

/**
 * Result of validating a release note against the state of the site.
 *
 * @param accepted whether the note was accepted
 * @param version the number of the version that the note created, or that was active when
 * it was rejected
 * @param reason why the note was rejected; empty if it was accepted
 * @param digest the digest of the note, which distinguishes two different notes under one
 * id
 */
public record Verdict(boolean accepted, long version, String reason, String digest) {

	/**
	 * Returns whether this verdict is on the given note, not on a different note with the
	 * same id.
	 * @param note the note
	 * @return {@code true} if the digests are equal
	 */
	public boolean appliesTo(ReleaseNote note) {
		return this.digest.equals(SiteJson.digest(note));
	}

	static Verdict accepted(long version, String digest) {
		return new Verdict(true, version, "", digest);
	}

	static Verdict rejected(long version, String reason, String digest) {
		return new Verdict(false, version, reason, digest);
	}

}
