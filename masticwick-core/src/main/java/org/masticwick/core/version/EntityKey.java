package org.masticwick.core.version;

import java.util.Comparator;
import java.util.Locale;

/**
 * Identifies what a release note can change: a service, the capacity of an endpoint or a
 * rule.
 *
 * @param type the type of entity
 * @param name the name of the service or rule, or the address of the endpoint
 */
public record EntityKey(Type type, String name) implements Comparable<EntityKey> {

	private static final Comparator<EntityKey> ORDER = Comparator.comparing(EntityKey::type)
		.thenComparing(EntityKey::name);

	/**
	 * Reads the form that {@link #toString()} writes.
	 * @param text the text
	 * @return the key
	 * @throws IllegalArgumentException if the text is not a key
	 */
	public static EntityKey parse(String text) {
		int colon = text.indexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("Not an entity: " + text);
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
	 * Lists the types of entity.
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
