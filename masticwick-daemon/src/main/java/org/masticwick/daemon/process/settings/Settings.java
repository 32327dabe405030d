package org.masticwick.daemon.process.settings;

import org.masticwick.log.LogSettings;

/**
 * Holds all settings of an entry host, one record for each section of the file.
 *
 * @param host who and where the process is
 * @param platform how the process talks to the platform
 * @param peers how the process talks to other entry hosts
 * @param tickets the bounds of tickets
 * @param requests the bounds of callers' requests
 * @param dispatch the bounds of queueing and starting
 * @param stop the bounds of a planned stop
 * @param log the form of the log
 */
public record Settings(HostSettings host, PlatformSettings platform, PeerSettings peers, TicketSettings tickets,
		RequestSettings requests, DispatchSettings dispatch, StopSettings stop, LogSettings log) {

}
