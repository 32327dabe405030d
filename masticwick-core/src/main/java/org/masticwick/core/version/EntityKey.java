package org.masticwick.core.version;

import java.util.Comparator;
import java.util.Locale;

/**
 * Identifies an entity that a release note can change: a service, the capacity of an
 * endpoint or a rule.
 *
 * @param type the type of entity
 * @param name the name of the service or rule, or the address of the endpoint
 */
public record EntityKey(Type type, String name) implements Comparable<EntityKey> {

	private static final Comparator<EntityKey> ORDER = Comparator.comparing(EntityKey::type)
		.thenComparing(EntityKey::name);

	/**
	 * Parses the text form that {@link #toString()} returns, such as
	 * {@code service:fitting}.
	 * @param text the text
	 * @return the key
	 * @throws IllegalArgumentException if the text has no colon after a type, or the type
	 * is unknown
	 */
	public static EntityKey parse(String text) {
		int colon = text.indexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("Not an entity key: " + text);
		}
		return new EntityKey(Type.valueOf(text.substring(0, colon).toUpperCase(Locale.ROOT)),
				text.substring(colon + 1));
	}

	@Override
	public int compareTo(EntityKey other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.type.name().toLowerCase(Locale.ROOT) + ":" + this.name;
	}

	/**
	 * The types of entity.
	 */
	public enum Type {

		/** A service. */
		SERVICE,

		/** The capacity of an endpoint. */
		CAPACITY,

		/** A rule. */
		RULE

	}

}
