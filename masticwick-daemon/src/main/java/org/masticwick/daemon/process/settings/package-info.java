/**
 * The settings of an entry host, which are loaded from a TOML file and checked as a whole
 * when the process starts.
 */
package org.masticwick.daemon.process.settings;
