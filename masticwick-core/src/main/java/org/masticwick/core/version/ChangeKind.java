package org.masticwick.core.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Tells what a release note does to an entity.
 */
public enum ChangeKind {

	/** The entity is new; it must not exist. */
	ADD,

	/** The entity gets another value; it must exist. */
	CHANGE,

	/** The entity goes; it must exist. */
	WITHDRAW;

	/** What a note may say, for people. */
	static final String ALLOWED = "\"add\", \"change\" or \"withdraw\"";

	/**
	 * Returns the text that stands for this kind in notes and records.
	 * @return the text, lower case
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds the kind that a text stands for.
	 * @param text the text
	 * @return the kind, or empty if the text stands for none
	 */
	public static Optional<ChangeKind> find(String text) {
		return Arrays.stream(values()).filter((kind) -> kind.text().equals(text)).findFirst();
	}

}
