/**
 * Codec and connections behind the transport between entry hosts.
 */
package org.masticwick.wire.internal;
