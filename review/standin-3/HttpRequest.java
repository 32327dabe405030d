package review3;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A request that a stand-in has received.
 *
 * @param method the method
 * @param path the path without the query
 * @param query the parameters of the query
 * @param headers the headers, by lower-case name
 * @param body the body
 */
record HttpRequest(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

	static Map<String, String> parseQuery(String query) {
		Map<String, String> parameters = new HashMap<>();
		for (String pair : query.split("&")) {
			int separator = pair.indexOf('=');
			if (separator > 0) {
				parameters.put(pair.substring(0, separator), java.net.URLDecoder
					.decode(pair.substring(separator + 1).replace("+", "%2B"), StandardCharsets.UTF_8));
			}
		}
		return parameters;
	}

	String header(String name) {
		return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	long number(String parameter, long defaultValue) {
		return this.query.containsKey(parameter) ? Long.parseLong(this.query.get(parameter)) : defaultValue;
	}

	Map<String, Object> json() {
		return Json.object(new String(this.body, StandardCharsets.UTF_8));
	}

}
