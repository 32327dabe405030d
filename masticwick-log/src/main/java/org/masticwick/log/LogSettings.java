package org.masticwick.log;

/**
 * Tells the form of the log.
 *
 * @param format the form of a line
 * @param level the least level that is written: {@code trace}, {@code debug},
 * {@code info}, {@code warn} or {@code error}
 */
public record LogSettings(LogFormat format, String level) {

}
