package org.masticwick.daemon.process;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.daemon.request.HttpAnswer;

/**
 * Shows the state of the process part by part. Each part bounds what it shows and leaves
 * secrets out.
 */
final class StateDump {

	/** How many entries a list shows at most. */
	static final int MAX_ENTRY_COUNT = 500;

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper()
		.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

	private final Map<String, Supplier<Object>> parts = new LinkedHashMap<>();

	StateDump() {
		part("process", StateDump::process);
	}

	/**
	 * Adds a part.
	 * @param name the name of the part
	 * @param state what it shows
	 */
	void part(String name, Supplier<Object> state) {
		this.parts.put(name, state);
	}

	/**
	 * Shortens a list to what a dump shows.
	 * @param <T> the type of the entries
	 * @param entries the list
	 * @return the first entries
	 */
	static <T> List<T> bounded(List<T> entries) {
		return (entries.size() <= MAX_ENTRY_COUNT) ? entries : entries.subList(0, MAX_ENTRY_COUNT);
	}

	HttpAnswer dump() {
		Map<String, Object> state = new LinkedHashMap<>();
		this.parts.forEach((name, part) -> state.put(name, part.get()));
		try {
			return HttpAnswer.json(OK, this.mapper.writerWithDefaultPrettyPrinter().writeValueAsBytes(state));
		}
		catch (IOException ex) {
			throw new MasticwickException(ErrorCode.INTERNAL, "The state can't be written", ex);
		}
	}

	private static Object process() {
		MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("pid", ProcessHandle.current().pid());
		state.put("uptime_ms", ManagementFactory.getRuntimeMXBean().getUptime());
		state.put("heap_used_bytes", memory.getHeapMemoryUsage().getUsed());
		state.put("non_heap_used_bytes", memory.getNonHeapMemoryUsage().getUsed());
		state.put("thread_count", ManagementFactory.getThreadMXBean().getThreadCount());
		return state;
	}

}
