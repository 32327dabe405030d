package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small JSON reader and writer. Objects are maps, arrays are lists, whole numbers are
 * longs and all other numbers doubles.
 */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	/**
	 * Reads an object.
	 * @param text the text of the object
	 * @return its fields; empty if the text is empty
	 */
	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return text.isBlank() ? Map.of() : (Map<String, Object>) new Json(text).value();
	}

	static long number(Map<String, Object> object, String name, long defaultValue) {
		return (object.get(name) instanceof Number number) ? number.longValue() : defaultValue;
	}

	static String text(Map<String, Object> object, String name) {
		return (object.get(name) instanceof String value) ? value : "";
	}

	private Object value() {
		skipSpace();
		char next = this.text.charAt(this.position);
		return switch (next) {
			case '{' -> readObject();
			case '[' -> readArray();
			case '"' -> readString();
			case 't' -> literal("true", true);
			case 'f' -> literal("false", false);
			case 'n' -> literal("null", null);
			default -> readNumber();
		};
	}

	private Object literal(String word, Object value) {
		this.position += word.length();
		return value;
	}

	private Map<String, Object> readObject() {
		Map<String, Object> fields = new LinkedHashMap<>();
		this.position++;
		skipSpace();
		while (this.text.charAt(this.position) != '}') {
			String name = readString();
			skipSpace();
			this.position++;
			fields.put(name, value());
			skipComma();
		}
		this.position++;
		return fields;
	}

	private List<Object> readArray() {
		List<Object> elements = new ArrayList<>();
		this.position++;
		skipSpace();
		while (this.text.charAt(this.position) != ']') {
			elements.add(value());
			skipComma();
		}
		this.position++;
		return elements;
	}

	private void skipComma() {
		skipSpace();
		if (this.text.charAt(this.position) == ',') {
			this.position++;
			skipSpace();
		}
	}

	private void skipSpace() {
		while (Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
	}

	private String readString() {
		StringBuilder out = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char next = this.text.charAt(this.position++);
			out.append((next == '\\') ? readEscape() : next);
		}
		this.position++;
		return out.toString();
	}

	private char readEscape() {
		char kind = this.text.charAt(this.position++);
		switch (kind) {
			case 'n':
				return '\n';
			case 't':
				return '\t';
			case 'r':
				return '\r';
			case 'b':
				return '\b';
			case 'f':
				return '\f';
			case 'u':
				this.position += 4;
				return (char) Integer.parseInt(this.text.substring(this.position - 4, this.position), 16);
			default:
				return kind;
		}
	}

	private Object readNumber() {
		int start = this.position;
		while (this.position < this.text.length() && "+-.eE0123456789".indexOf(this.text.charAt(this.position)) >= 0) {
			this.position++;
		}
		String number = this.text.substring(start, this.position);
		boolean whole = number.chars().noneMatch((each) -> each == '.' || each == 'e' || each == 'E');
		return whole ? (Object) Long.valueOf(number) : (Object) Double.valueOf(number);
	}

	static String quote(String value) {
		return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
	}

}
