/**
 * The entry host process {@code masticwickd}.
 */
package org.masticwick.daemon;
