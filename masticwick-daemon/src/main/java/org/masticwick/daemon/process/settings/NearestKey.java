package org.masticwick.daemon.process.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Suggests the known key that an unknown, probably misspelt key stands for.
 */
final class NearestKey {

	private NearestKey() {
	}

	/**
	 * Finds the known key with the smallest Levenshtein distance to an unknown one. The
	 * distance may be at most half the length of the unknown key, and 2 for short keys.
	 * Among equally near keys the alphabetically first is chosen.
	 * @param unknownKey the unknown key
	 * @param knownKeys the known keys
	 * @return the nearest key, or empty if the distance of all is larger
	 */
	static Optional<String> find(String unknownKey, Collection<String> knownKeys) {
		int maxDistance = Math.max(2, unknownKey.length() / 2);
		return knownKeys.stream()
			.filter((key) -> editDistance(unknownKey, key) <= maxDistance)
			.min(Comparator.comparingInt((String key) -> editDistance(unknownKey, key)).thenComparing((key) -> key));
	}

	private static int editDistance(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int column = 0; column <= right.length(); column++) {
			previous[column] = column;
		}
		for (int row = 1; row <= left.length(); row++) {
			int[] current = new int[right.length() + 1];
			current[0] = row;
			for (int column = 1; column <= right.length(); column++) {
				int cost = (left.charAt(row - 1) != right.charAt(column - 1)) ? 1 : 0;
				int edit = Math.min(previous[column], current[column - 1]) + 1;
				current[column] = Math.min(edit, previous[column - 1] + cost);
			}
			previous = current;
		}
		return previous[right.length()];
	}

}
