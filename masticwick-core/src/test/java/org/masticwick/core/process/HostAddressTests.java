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
	class Ordering {

		@Test
		void comparesPortsAsNumbers() {
			assertThat(HostAddress.parse("127.0.0.1:99")).isLessThan(HostAddress.parse("127.0.0.1:100"));
		}

	}

}
