package org.masticwick.platform;

/**
 * The offsets of appended records.
 *
 * @param firstOffset the offset of the first record
 * @param endOffset the offset after the last record
 */
public record AppendResult(long firstOffset, long endOffset) {

}
