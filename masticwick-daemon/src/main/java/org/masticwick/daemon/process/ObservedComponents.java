package org.masticwick.daemon.process;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Scheduler;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.request.Dispatcher;
import org.masticwick.daemon.request.ResultCollector;
import org.masticwick.daemon.request.TicketRegistries;
import org.masticwick.daemon.version.LogFollower;
import org.masticwick.daemon.version.VersionRegistry;
import org.masticwick.wire.TrafficCounters;

/**
 * The components of an entry host that its metrics and its state dump read.
 *
 * @param self the identity of this host
 * @param settings the settings of the process
 * @param time the clock
 * @param registry holds the active version
 * @param versionReport reports the active versions of all known hosts
 * @param logFollower reads release notes from the log
 * @param membership the known peers
 * @param scheduler queues tasks and assigns them to endpoints
 * @param dispatcher runs the jobs of this host
 * @param ticketBooks the tickets that this host holds
 * @param collector collects the outcomes of jobs whose issuing host is lost
 * @param traffic counts the messages between entry hosts
 * @param openRequestCount how many requests await their answer
 * @param leaving whether a planned stop has begun
 */
record ObservedComponents(EntryHost self, Settings settings, TimeSource time, VersionRegistry registry,
		VersionReport versionReport, LogFollower logFollower, Membership membership, Scheduler scheduler,
		Dispatcher dispatcher, TicketRegistries ticketBooks, ResultCollector collector, TrafficCounters traffic,
		IntSupplier openRequestCount, BooleanSupplier leaving) {

}
