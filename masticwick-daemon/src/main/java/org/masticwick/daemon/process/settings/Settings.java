package org.masticwick.daemon.process.settings;

import org.masticwick.log.LogSettings;

/**
 * All settings of an entry host, one record for each section of the file.
 *
 * @param host the failure domain and the addresses of this host
 * @param platform the communication with the platform
 * @param peers the communication with other entry hosts
 * @param tickets the limits on tickets
 * @param requests the limits on the requests of callers
 * @param dispatch the limits on the queueing and starting of tasks
 * @param stop the time limits of a planned stop
 * @param log the format and the level of the log lines that this process writes
 */
public record Settings(HostSettings host, PlatformSettings platform, PeerSettings peers, TicketSettings tickets,
		RequestSettings requests, DispatchSettings dispatch, StopSettings stop, LogSettings log) {

}
