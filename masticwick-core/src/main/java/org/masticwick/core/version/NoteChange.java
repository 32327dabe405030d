package org.masticwick.core.version;

import org.masticwick.core.process.HostAddress;

/**
 * One change in a release note.
 */
public sealed interface NoteChange {

	/**
	 * Returns what the note does to the entity.
	 * @return the kind of change
	 */
	ChangeKind kind();

	/**
	 * Returns the key of the changed entity.
	 * @return the key of the entity
	 */
	EntityKey key();

	/**
	 * Changes a service.
	 *
	 * @param kind the kind of change
	 * @param name the name of the service
	 * @param spec the new value; {@code null} for a withdrawal
	 */
	record OfService(ChangeKind kind, String name, ServiceSpec spec) implements NoteChange {

		@Override
		public EntityKey key() {
			return new EntityKey(EntityKey.Type.SERVICE, this.name);
		}

	}

	/**
	 * Changes the capacity of an endpoint.
	 *
	 * @param kind the kind of change
	 * @param address the address of the endpoint
	 * @param spec the new value; {@code null} for a withdrawal
	 */
	record OfCapacity(ChangeKind kind, HostAddress address, EndpointSpec spec) implements NoteChange {

		@Override
		public EntityKey key() {
			return new EntityKey(EntityKey.Type.CAPACITY, this.address.toString());
		}

	}

	/**
	 * Changes a rule.
	 *
	 * @param kind the kind of change
	 * @param name the name of the rule
	 * @param value the new value; {@code null} for a withdrawal
	 */
	record OfRule(ChangeKind kind, String name, String value) implements NoteChange {

		@Override
		public EntityKey key() {
			return new EntityKey(EntityKey.Type.RULE, this.name);
		}

	}

}
