package org.masticwick.proof;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the Cucumber features, including their fault scenarios, sequentially against real
 * processes.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
class FeaturesTests {

}
