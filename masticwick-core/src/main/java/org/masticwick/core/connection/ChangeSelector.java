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
 * Chooses the entries of a map that differ most from what was sent. Not safe for several
 * threads.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
final class ChangeSelector<K extends Comparable<K>, V> {

	private final Map<K, V> sent = new HashMap<>();

	private final V zero;

	private final ToLongBiFunction<V, V> distance;

	/**
	 * Creates a selector that has sent nothing.
	 * @param zero what stands for an entry that is not there
	 * @param distance how far two values differ, 0 if they are equal
	 */
	ChangeSelector(V zero, ToLongBiFunction<V, V> distance) {
		this.zero = zero;
		this.distance = distance;
	}

	Map<K, V> selectChanges(Map<K, V> current, int maxCount) {
		Set<K> keys = new HashSet<>(this.sent.keySet());
		keys.addAll(current.keySet());
		List<K> chosen = keys.stream()
			.filter((key) -> change(current, key) > 0)
			.sorted(Comparator.comparingLong((K key) -> -change(current, key)).thenComparing(Comparator.naturalOrder()))
			.limit(maxCount)
			.toList();
		Map<K, V> result = new LinkedHashMap<>();
		chosen.forEach((key) -> result.put(key, current.getOrDefault(key, this.zero)));
		result.forEach(this::markSent);
		return result;
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

	private long change(Map<K, V> current, K key) {
		return this.distance.applyAsLong(current.getOrDefault(key, this.zero), this.sent.getOrDefault(key, this.zero));
	}

}
