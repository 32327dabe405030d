/**
 * What lives as long as a connection between entry hosts: heartbeats and membership.
 */
package org.masticwick.core.connection;
