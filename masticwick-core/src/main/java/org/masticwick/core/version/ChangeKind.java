package org.masticwick.core.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of change that a release note can make to an entity.
 */
public enum ChangeKind {

	/** Adds an entity, which must not exist yet. */
	ADD,

	/** Replaces the value of an entity, which must exist. */
	CHANGE,

	/** Removes an entity, which must exist. */
	WITHDRAW;

	/** The texts of all kinds, for messages to operators. */
	static final String ALLOWED_TEXTS = "\"add\", \"change\" or \"withdraw\"";

	/**
	 * Returns the text of this kind in release notes and log records.
	 * @return the text, lower case
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its text.
	 * @param text the text, lower case
	 * @return the kind, or empty if no kind has this text
	 */
	public static Optional<ChangeKind> find(String text) {
		return Arrays.stream(values()).filter((kind) -> kind.text().equals(text)).findFirst();
	}

}
