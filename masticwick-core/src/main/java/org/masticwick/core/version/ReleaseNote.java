package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.masticwick.core.process.HostAddress;

/**
 * A declared change of the site, published by operators: the services, capacities and
 * rules to add, change and withdraw. A note is accepted or rejected as a whole.
 *
 * @param id the id that the operator chose; a note that is appended to the log twice gets
 * one verdict
 * @param baseVersion the number of the version that the note was written against
 * @param services the changes of services
 * @param capacities the changes of capacities
 * @param rules the changes of rules
 */
public record ReleaseNote(String id, long baseVersion, List<NoteChange.OfService> services,
		List<NoteChange.OfCapacity> capacities, List<NoteChange.OfRule> rules) {

	/**
	 * Copies the changes.
	 */
	public ReleaseNote {
		services = List.copyOf(services);
		capacities = List.copyOf(capacities);
		rules = List.copyOf(rules);
	}

	/**
	 * Creates a builder of a note.
	 * @param id the id of the note
	 * @param baseVersion the number of the version that the note is written against
	 * @return the builder
	 */
	public static Builder builder(String id, long baseVersion) {
		return new Builder(id, baseVersion);
	}

	/**
	 * Returns the changes of services, then those of capacities, then those of rules.
	 * @return all changes
	 */
	public Stream<NoteChange> changes() {
		return Stream.of(this.services, this.capacities, this.rules).flatMap(List::stream);
	}

	/**
	 * Builds a release note. Not safe for several threads.
	 */
	public static final class Builder {

		private final String id;

		private final long baseVersion;

		private final List<NoteChange.OfService> services = new ArrayList<>();

		private final List<NoteChange.OfCapacity> capacities = new ArrayList<>();

		private final List<NoteChange.OfRule> rules = new ArrayList<>();

		private Builder(String id, long baseVersion) {
			this.id = id;
			this.baseVersion = baseVersion;
		}

		/**
		 * Adds a service.
		 * @param spec the service
		 * @return this builder
		 */
		public Builder add(ServiceSpec spec) {
			this.services.add(new NoteChange.OfService(ChangeKind.ADD, spec.name(), spec));
			return this;
		}

		/**
		 * Changes a service.
		 * @param spec the new value of the service
		 * @return this builder
		 */
		public Builder change(ServiceSpec spec) {
			this.services.add(new NoteChange.OfService(ChangeKind.CHANGE, spec.name(), spec));
			return this;
		}

		/**
		 * Withdraws a service.
		 * @param name the name of the service
		 * @return this builder
		 */
		public Builder withdrawService(String name) {
			this.services.add(new NoteChange.OfService(ChangeKind.WITHDRAW, name, null));
			return this;
		}

		/**
		 * Adds the capacity of an endpoint.
		 * @param spec the capacity
		 * @return this builder
		 */
		public Builder add(EndpointSpec spec) {
			this.capacities.add(new NoteChange.OfCapacity(ChangeKind.ADD, spec.address(), spec));
			return this;
		}

		/**
		 * Changes the capacity of an endpoint.
		 * @param spec the new value of the capacity
		 * @return this builder
		 */
		public Builder change(EndpointSpec spec) {
			this.capacities.add(new NoteChange.OfCapacity(ChangeKind.CHANGE, spec.address(), spec));
			return this;
		}

		/**
		 * Withdraws the capacity of an endpoint.
		 * @param address the address of the endpoint
		 * @return this builder
		 */
		public Builder withdrawCapacity(HostAddress address) {
			this.capacities.add(new NoteChange.OfCapacity(ChangeKind.WITHDRAW, address, null));
			return this;
		}

		/**
		 * Adds a rule.
		 * @param name the name of the rule
		 * @param value its value
		 * @return this builder
		 */
		public Builder addRule(String name, String value) {
			this.rules.add(new NoteChange.OfRule(ChangeKind.ADD, name, value));
			return this;
		}

		/**
		 * Changes a rule.
		 * @param name the name of the rule
		 * @param value its value
		 * @return this builder
		 */
		public Builder changeRule(String name, String value) {
			this.rules.add(new NoteChange.OfRule(ChangeKind.CHANGE, name, value));
			return this;
		}

		/**
		 * Withdraws a rule.
		 * @param name the name of the rule
		 * @return this builder
		 */
		public Builder withdrawRule(String name) {
			this.rules.add(new NoteChange.OfRule(ChangeKind.WITHDRAW, name, null));
			return this;
		}

		/**
		 * Adds a change of any type.
		 * @param change the change
		 * @return this builder
		 */
		Builder addChange(NoteChange change) {
			if (change instanceof NoteChange.OfService service) {
				this.services.add(service);
			}
			else if (change instanceof NoteChange.OfCapacity capacity) {
				this.capacities.add(capacity);
			}
			else if (change instanceof NoteChange.OfRule rule) {
				this.rules.add(rule);
			}
			return this;
		}

		/**
		 * Creates the note.
		 * @return the note
		 */
		public ReleaseNote build() {
			return new ReleaseNote(this.id, this.baseVersion, this.services, this.capacities, this.rules);
		}

	}

}
