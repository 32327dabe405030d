package org.masticwick.core.version;

/**
 * Tells what became of a release note.
 *
 * @param accepted whether the note was accepted
 * @param version the version that the note made, or that it was rejected at
 * @param reason why the note was rejected; empty if it was accepted
 * @param digest the digest of the note, which tells apart two notes under one id
 */
public record Verdict(boolean accepted, long version, String reason, String digest) {

	/**
	 * Tells whether the verdict is on this very note, or on another one under its id.
	 * @param note the note
	 * @return {@code true} if it is on this note
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
