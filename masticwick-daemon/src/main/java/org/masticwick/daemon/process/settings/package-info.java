/**
 * Settings of an entry host: read from a TOML file and checked as a whole at the start of
 * the process.
 */
package org.masticwick.daemon.process.settings;
