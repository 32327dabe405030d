package org.masticwick.fleet.version;

import org.masticwick.core.pool.EndpointEntry;

/**
 * Reads what others write to the shared log.
 */
public interface SiteFormat {

	/**
	 * Returns the key under which versions are published.
	 * @return the key
	 */
	String versionKey();

	/**
	 * Reads a published version.
	 * @param content the bytes
	 * @return the version
	 * @throws InvalidRecordException if the bytes are no version
	 */
	SiteVersion readVersion(byte[] content);

	/**
	 * Reads what an endpoint says of itself.
	 * @param endpointId the endpoint
	 * @param content the bytes
	 * @return the entry
	 * @throws InvalidRecordException if the bytes name no endpoint to use
	 */
	EndpointEntry readEndpoint(String endpointId, byte[] content);

}
