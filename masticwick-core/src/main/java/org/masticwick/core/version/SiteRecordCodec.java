package org.masticwick.core.version;

import java.util.List;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes records of the log stream of release notes as JSON text and decodes them.
 * Decoding skips records of unknown types and ignores unknown fields, so that hosts of an
 * earlier release can read the stream.
 */
public final class SiteRecordCodec {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String SOURCE = "log";

	private static final String TYPE = "type";

	private static final String RESTORES_FROM = "restores_from";

	private static final String STATE = "state";

	private SiteRecordCodec() {
	}

	/**
	 * Encodes a release note as a record.
	 * @param note the note
	 * @return the text of the record
	 */
	public static String encode(ReleaseNote note) {
		ObjectNode node = JsonNodeFactory.instance.objectNode().put(TYPE, SiteRecord.NoteRecord.TYPE);
		node.setAll(SiteJson.write(note));
		return node.toString();
	}

	/**
	 * Encodes a snapshot of a state that was replayed from the log.
	 * @param state the state
	 * @return the text of the record; equal states have equal texts
	 */
	public static String encodeSnapshot(SiteState state) {
		ObjectNode node = JsonNodeFactory.instance.objectNode().put(TYPE, SiteRecord.SnapshotRecord.TYPE);
		node.set(STATE, SiteJson.write(state));
		return node.toString();
	}

	/**
	 * Encodes a snapshot that restores notes which the log has lost.
	 * @param state the state
	 * @param endOffset the end offset of the log when the writer found that it had lost
	 * records
	 * @return the text of the record; equal states and end offsets have equal texts
	 */
	public static String encodeRestore(SiteState state, long endOffset) {
		ObjectNode node = JsonNodeFactory.instance.objectNode()
			.put(TYPE, SiteRecord.SnapshotRecord.TYPE)
			.put(RESTORES_FROM, endOffset);
		node.set(STATE, SiteJson.write(state));
		return node.toString();
	}

	/**
	 * Encodes a state alone, as peers send it to each other.
	 * @param state the state
	 * @return the text; equal states have equal texts
	 */
	public static String encodeState(SiteState state) {
		return SiteJson.write(state).toString();
	}

	/**
	 * Decodes a state that a peer sent.
	 * @param text the text
	 * @return the state
	 * @throws InvalidNoteException if the text is not a valid state
	 */
	public static SiteState decodeState(String text) {
		try {
			return new StateReader().read("peer", JSON.readTree(text));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new InvalidNoteException(
					List.of(new NoteProblem("peer", "", "is not a valid state of the site: " + ex, "")));
		}
	}

	/**
	 * Decodes a record.
	 * @param text the text of the record
	 * @return the record; an {@link SiteRecord.UnsupportedRecord} if its type is unknown
	 * or it is malformed
	 */
	public static SiteRecord decode(String text) {
		try {
			return decode(JSON.readTree(text));
		}
		catch (JsonProcessingException | IllegalArgumentException | InvalidNoteException ex) {
			return new SiteRecord.UnsupportedRecord("");
		}
	}

	private static SiteRecord decode(JsonNode node) {
		String type = node.path(TYPE).asText();
		return switch (type) {
			case SiteRecord.NoteRecord.TYPE -> new SiteRecord.NoteRecord(new NoteReader(false).read(SOURCE, node));
			case SiteRecord.SnapshotRecord.TYPE -> new SiteRecord.SnapshotRecord(
					new StateReader().read(SOURCE, node.path(STATE)), decodeOffset(node.path(RESTORES_FROM)));
			default -> new SiteRecord.UnsupportedRecord(type);
		};
	}

	private static OptionalLong decodeOffset(JsonNode node) {
		return (node.isIntegralNumber()) ? OptionalLong.of(node.longValue()) : OptionalLong.empty();
	}

}
