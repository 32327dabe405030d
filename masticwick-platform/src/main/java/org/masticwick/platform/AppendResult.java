package org.masticwick.platform;

/**
 * Tells where appended records stand.
 *
 * @param firstOffset the offset of the first of them
 * @param endOffset the offset after the last of them
 */
public record AppendResult(long firstOffset, long endOffset) {

}
