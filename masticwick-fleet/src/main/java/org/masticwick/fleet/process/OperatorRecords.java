package org.masticwick.fleet.process;

import java.util.Set;

import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.fleet.version.VersionHolder;

/**
 * Applies the records of operators: published versions and drained failure domains.
 */
final class OperatorRecords implements TopicFollower.Listener {

	private final String versionKey;

	private final VersionHolder versions;

	private final DrainedDomainsHolder drains;

	OperatorRecords(String versionKey, VersionHolder versions, DrainedDomainsHolder drains) {
		this.versionKey = versionKey;
		this.versions = versions;
		this.drains = drains;
	}

	@Override
	public void onRecord(KeyedRecord operatorRecord) {
		if (operatorRecord.key().equals(this.versionKey) && operatorRecord.value() != null) {
			this.versions.activateIfNewer(operatorRecord.value(), "log");
		}
		this.drains.onRecord(operatorRecord.key(), operatorRecord.value() == null);
	}

	@Override
	public void onLoaded(Set<String> keys) {
		this.drains.onLoaded(keys);
	}

	@Override
	public void onUpToDate(long nextOffset) {
		this.drains.onUpToDate(nextOffset);
	}

}
