import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		Object value = new Json(text).value();
		return (value instanceof Map<?, ?> map) ? (Map<String, Object>) map : Map.of();
	}

	static long number(Map<String, Object> object, String key, long otherwise) {
		return (object.get(key) instanceof Number number) ? number.longValue() : otherwise;
	}

	static String string(Map<String, Object> object, String key) {
		return (object.get(key) instanceof String string) ? string : "";
	}

	private Object value() {
		skipSpace();
		char next = this.text.charAt(this.at);
		if (next == '{') {
			return members();
		}
		if (next == '[') {
			return elements();
		}
		if (next == '"') {
			return quoted();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.contains(".") || word.contains("e") || word.contains("E")) ? (Object) Double.valueOf(word)
					: (Object) Long.valueOf(word);
		};
	}

	private Map<String, Object> members() {
		Map<String, Object> members = new LinkedHashMap<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != '}') {
			String key = quoted();
			skipSpace();
			this.at++;
			members.put(key, value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipSpace();
			}
		}
		this.at++;
		return members;
	}

	private List<Object> elements() {
		List<Object> elements = new ArrayList<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != ']') {
			elements.add(value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipSpace();
			}
		}
		this.at++;
		return elements;
	}

	private String quoted() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char next = this.text.charAt(this.at++);
			if (next != '\\') {
				out.append(next);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		this.at++;
		return out.toString();
	}

	private void skipSpace() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	static String quote(String text) {
		return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
	}

}
