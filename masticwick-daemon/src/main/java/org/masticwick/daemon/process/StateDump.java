package org.masticwick.daemon.process;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializerBase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.daemon.request.HttpAnswer;

/**
 * Writes the state of the process to JSON, part by part. A part that is too large, or
 * whose supplier fails, is replaced by its size or the name of the exception, so that the
 * other parts can still be read.
 */
final class StateDump {

	/** The maximum number of entries of a list. */
	static final int MAX_ENTRY_COUNT = 500;

	/** The maximum size of a part, in bytes of compact JSON. */
	static final int MAX_PART_BYTES = 512 * 1024;

	private static final Logger logger = LoggerFactory.getLogger(StateDump.class);

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper()
		.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.registerModule(new SimpleModule().addSerializer(HostAddress.class, ToStringSerializer.instance)
			.addSerializer(Incarnation.class, ToStringSerializer.instance)
			.addSerializer(InetSocketAddress.class, new AddressSerializer()));

	private final Map<String, Supplier<?>> partSuppliers = new LinkedHashMap<>();

	StateDump() {
		addPart("process", ProcessState::now);
	}

	/**
	 * Adds a part.
	 * @param name the key of the part in the dump
	 * @param state supplies the state at each dump: a record, or a map or list of
	 * records, without secrets
	 */
	void addPart(String name, Supplier<?> state) {
		this.partSuppliers.put(name, state);
	}

	/**
	 * Truncates a list to the maximum number of entries.
	 * @param <T> the type of the entries
	 * @param entries the list
	 * @return the first entries, at most {@link #MAX_ENTRY_COUNT}
	 */
	static <T> List<T> truncate(List<T> entries) {
		return (entries.size() <= MAX_ENTRY_COUNT) ? entries : entries.subList(0, MAX_ENTRY_COUNT);
	}

	HttpAnswer dump() {
		ObjectNode state = this.mapper.createObjectNode();
		this.partSuppliers.forEach((name, part) -> state.set(name, serialize(name, part)));
		try {
			return HttpAnswer.json(OK, this.mapper.writeValueAsBytes(state));
		}
		catch (IOException ex) {
			throw new MasticwickException(ErrorCode.INTERNAL, "The state dump can't be written as JSON", ex);
		}
	}

	private JsonNode serialize(String name, Supplier<?> part) {
		try {
			JsonNode state = this.mapper.valueToTree(part.get());
			int sizeBytes = this.mapper.writeValueAsBytes(state).length;
			return (sizeBytes <= MAX_PART_BYTES) ? state
					: this.mapper.createObjectNode().put("omitted_bytes", sizeBytes);
		}
		catch (IOException | RuntimeException ex) {
			logger.atWarn()
				.addKeyValue("part", name)
				.setCause(ex)
				.log("Part of the state dump can't be read; the dump contains the exception's name instead");
			return this.mapper.createObjectNode().put("error", ex.getClass().getSimpleName());
		}
	}

	/**
	 * The part {@code process}: the JVM process.
	 *
	 * @param pid the id of the process
	 * @param uptimeMillis the time since the JVM started, in milliseconds
	 * @param heapUsedBytes the used heap, in bytes
	 * @param nonHeapUsedBytes the used memory that the JVM manages outside the heap, in
	 * bytes
	 * @param threadCount the number of live threads
	 */
	record ProcessState(long pid, long uptimeMillis, long heapUsedBytes, long nonHeapUsedBytes, int threadCount) {

		static ProcessState now() {
			MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
			return new ProcessState(ProcessHandle.current().pid(), ManagementFactory.getRuntimeMXBean().getUptime(),
					memory.getHeapMemoryUsage().getUsed(), memory.getNonHeapMemoryUsage().getUsed(),
					ManagementFactory.getThreadMXBean().getThreadCount());
		}

	}

	/**
	 * Writes a socket address as {@code ip:port}.
	 */
	private static final class AddressSerializer extends ToStringSerializerBase {

		private static final long serialVersionUID = 1L;

		AddressSerializer() {
			super(InetSocketAddress.class);
		}

		@Override
		public String valueToString(Object value) {
			InetSocketAddress address = (InetSocketAddress) value;
			return address.getHostString() + ":" + address.getPort();
		}

	}

}
