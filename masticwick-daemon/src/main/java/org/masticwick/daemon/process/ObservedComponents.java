package org.masticwick.daemon.process;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Scheduler;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.request.Collector;
import org.masticwick.daemon.request.Dispatcher;
import org.masticwick.daemon.request.TicketBooks;
import org.masticwick.daemon.version.LogFollower;
import org.masticwick.daemon.version.VersionRegistry;
import org.masticwick.wire.TrafficCounters;

/**
 * Holds the parts of an entry host that its metrics and its state dump look at.
 *
 * @param self this process
 * @param settings the settings
 * @param time the clock
 * @param registry the version in force
 * @param versionReport what is in force where
 * @param logFollower follows the log
 * @param membership the peers
 * @param scheduler the decisions
 * @param dispatcher runs jobs
 * @param ticketBooks the tickets that are held
 * @param collector collects for lost homes
 * @param traffic the messages between entry hosts
 * @param openRequestCount how many requests wait for an answer
 * @param leaving whether a planned stop has begun
 */
record ObservedComponents(EntryHost self, Settings settings, TimeSource time, VersionRegistry registry,
		VersionReport versionReport, LogFollower logFollower, Membership membership, Scheduler scheduler,
		Dispatcher dispatcher, TicketBooks ticketBooks, Collector collector, TrafficCounters traffic,
		IntSupplier openRequestCount, BooleanSupplier leaving) {

}
