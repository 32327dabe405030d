package org.masticwick.core.version;

/**
 * Is a record of the platform's log.
 *
 * @param offset the place of the record in its stream, from 0
 * @param value the text of the record
 */
public record LogRecord(long offset, String value) {

}
