package org.masticwick.log;

/**
 * Settings of the log of a process.
 *
 * @param format the format of the log lines
 * @param level the lowest level that is logged: {@code trace}, {@code debug},
 * {@code info}, {@code warn} or {@code error}
 */
public record LogSettings(LogFormat format, String level) {

}
