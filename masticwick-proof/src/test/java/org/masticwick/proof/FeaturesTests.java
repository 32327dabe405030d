package org.masticwick.proof;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the fault cases of the features against real processes, one after the other.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
class FeaturesTests {

}
