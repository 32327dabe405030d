package org.masticwick.core.process;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link HostAddress}.
 */
class HostAddressTests {

	@Nested
	class Parsing {

		@ParameterizedTest
		@CsvSource({ "127.0.0.1:80, 127.0.0.1, 80", "10.1.2.3:65535, 10.1.2.3, 65535" })
		void readsIpAndPort(String text, String ip, int port) {
			assertThat(HostAddress.parse(text)).isEqualTo(new HostAddress(ip, port));
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "a:b" })
		void rejectsMalformedText(String text) {
			assertThatIllegalArgumentException().isThrownBy(() -> HostAddress.parse(text));
		}

	}

	@Nested
	class NumericAddresses {

		@ParameterizedTest
		@ValueSource(strings = { "0.0.0.0:1", "127.0.0.1:80", "10.128.0.9:65535", "255.255.255.255:9" })
		void areParsed(String text) {
			assertThat(HostAddress.parseIpv4(text)).hasToString(text);
		}

		/**
		 * A host name would be looked up by the thread that connects to it.
		 */
		@ParameterizedTest
		@ValueSource(strings = { "host.example:80", "localhost:80", "1.2.3:80", "1.2.3.4.5:80", "1.2.3.4.:80",
				"1.2.3.256:80", "01.2.3.4:80", "::1:80", "1.2.3.4:+80", "1.2.3.4:080", "1.2.3.4:0", "1.2.3.4:65536",
				"1.2.3.4", "", "1.2.3.4:80\n", "1.2.3.4\n:80" })
		void areTheOnlyOnesParsed(String text) {
			assertThatIllegalArgumentException().isThrownBy(() -> HostAddress.parseIpv4(text));
		}

	}

	@Nested
	class Ordering {

		@Test
		void comparesPortsAsNumbers() {
			assertThat(HostAddress.parse("127.0.0.1:99")).isLessThan(HostAddress.parse("127.0.0.1:100"));
		}

	}

}
