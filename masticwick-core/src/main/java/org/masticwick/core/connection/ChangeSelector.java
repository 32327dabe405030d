package org.masticwick.core.connection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongBiFunction;

/**
 * Selects the entries of a map that differ most from the values last sent to peers. Not
 * safe for several threads.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
final class ChangeSelector<K extends Comparable<K>, V> {

	private final Map<K, V> sent = new HashMap<>();

	private final V zero;

	private final ToLongBiFunction<V, V> distance;

	/**
	 * Creates a selector without any sent entries.
	 * @param zero the value that represents a missing entry
	 * @param distance the size of the difference between two values, 0 if they are equal
	 */
	ChangeSelector(V zero, ToLongBiFunction<V, V> distance) {
		this.zero = zero;
		this.distance = distance;
	}

	Map<K, V> selectChanges(Map<K, V> current, int maxCount) {
		Set<K> keys = new HashSet<>(this.sent.keySet());
		keys.addAll(current.keySet());
		List<K> selectedKeys = keys.stream()
			.filter((key) -> distanceFromSent(current, key) > 0)
			.sorted(Comparator.comparingLong((K key) -> -distanceFromSent(current, key))
				.thenComparing(Comparator.naturalOrder()))
			.limit(maxCount)
			.toList();
		Map<K, V> changes = new LinkedHashMap<>();
		selectedKeys.forEach((key) -> changes.put(key, current.getOrDefault(key, this.zero)));
		changes.forEach(this::markSent);
		return changes;
	}

	void markAllSent(Map<K, V> current) {
		this.sent.clear();
		current.forEach(this::markSent);
	}

	Map<K, V> lastSent() {
		return Map.copyOf(this.sent);
	}

	private void markSent(K key, V value) {
		if (this.zero.equals(value)) {
			this.sent.remove(key);
		}
		else {
			this.sent.put(key, value);
		}
	}

	private long distanceFromSent(Map<K, V> current, K key) {
		return this.distance.applyAsLong(current.getOrDefault(key, this.zero), this.sent.getOrDefault(key, this.zero));
	}

}
