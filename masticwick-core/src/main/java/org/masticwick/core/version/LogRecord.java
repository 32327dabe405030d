package org.masticwick.core.version;

/**
 * A record of the platform's append-only log.
 *
 * @param offset the offset of the record in its stream, from 0
 * @param value the text of the record
 */
public record LogRecord(long offset, String value) {

}
