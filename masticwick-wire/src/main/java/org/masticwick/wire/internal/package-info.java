/**
 * Codec and connections of the transport between entry hosts.
 */
package org.masticwick.wire.internal;
