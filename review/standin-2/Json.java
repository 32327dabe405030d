import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser: objects as maps, arrays as lists, numbers as doubles. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) new Json(text).value();
	}

	static long number(Map<String, Object> object, String name, long defaultValue) {
		return (object.get(name) instanceof Double number) ? number.longValue() : defaultValue;
	}

	static String text(Map<String, Object> object, String name, String defaultValue) {
		return (object.get(name) instanceof String found) ? found : defaultValue;
	}

	static String quote(String value) {
		StringBuilder out = new StringBuilder("\"");
		for (char c : value.toCharArray()) {
			if (c == '"' || c == '\\') {
				out.append('\\').append(c);
			}
			else if (c < ' ' || c > '~') {
				out.append(String.format("\\u%04x", (int) c));
			}
			else {
				out.append(c);
			}
		}
		return out.append('"').toString();
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		switch (next()) {
			case '{':
				return members();
			case '[':
				return elements();
			case '"':
				return string();
			case 't':
				this.at += 4;
				return true;
			case 'f':
				this.at += 5;
				return false;
			case 'n':
				this.at += 4;
				return null;
			default:
				int from = this.at;
				while (this.at < this.text.length() && "+-.eE0123456789".indexOf(this.text.charAt(this.at)) >= 0) {
					this.at++;
				}
				return Double.valueOf(this.text.substring(from, this.at));
		}
	}

	private Map<String, Object> members() {
		Map<String, Object> members = new LinkedHashMap<>();
		this.at++;
		while (next() != '}') {
			String name = string();
			next();
			this.at++;
			members.put(name, value());
			if (next() == ',') {
				this.at++;
			}
		}
		this.at++;
		return members;
	}

	private List<Object> elements() {
		List<Object> elements = new ArrayList<>();
		this.at++;
		while (next() != ']') {
			elements.add(value());
			if (next() == ',') {
				this.at++;
			}
		}
		this.at++;
		return elements;
	}

	private String string() {
		next();
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				switch (c) {
					case 'n' -> c = '\n';
					case 't' -> c = '\t';
					case 'r' -> c = '\r';
					case 'b' -> c = '\b';
					case 'f' -> c = '\f';
					case 'u' -> {
						c = (char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16);
						this.at += 4;
					}
					default -> {
					}
				}
			}
			out.append(c);
		}
		this.at++;
		return out.toString();
	}

}
