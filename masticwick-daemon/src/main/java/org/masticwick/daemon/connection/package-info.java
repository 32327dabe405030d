/**
 * What an entry host does as long as it is connected to others: heartbeats within its
 * failure domain and summaries between domains.
 */
package org.masticwick.daemon.connection;
