package org.masticwick.fleet.version;

import java.util.Optional;

import org.masticwick.core.pool.EndpointEntry;

/**
 * Parses the records that operators and endpoints write to the log.
 */
public interface SiteFormat {

	/**
	 * Returns the key of the records that hold published versions.
	 * @return the key
	 */
	String versionKey();

	/**
	 * Parses a published version.
	 * @param content the bytes
	 * @return the version
	 * @throws InvalidRecordException if the bytes are no valid version
	 */
	SiteVersion readVersion(byte[] content);

	/**
	 * Returns the failure domain that is drained while a record of the operators has a
	 * value. Deleting the record returns the domain to service. The value itself does not
	 * matter.
	 * @param recordKey the key of the record
	 * @return the name of the domain, or empty if the key is malformed or that of a
	 * record of another kind
	 */
	Optional<String> drainedDomain(String recordKey);

	/**
	 * Parses the entry in which an endpoint describes itself.
	 * @param endpointId the id of the endpoint
	 * @param content the bytes
	 * @return the entry
	 * @throws InvalidRecordException if the bytes are no valid entry
	 */
	EndpointEntry readEndpoint(String endpointId, byte[] content);

}
