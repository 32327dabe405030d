package org.masticwick.fleet.version;

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
	 * Parses the entry in which an endpoint describes itself.
	 * @param endpointId the id of the endpoint
	 * @param content the bytes
	 * @return the entry
	 * @throws InvalidRecordException if the bytes are no valid entry
	 */
	EndpointEntry readEndpoint(String endpointId, byte[] content);

}
