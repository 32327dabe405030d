package org.masticwick.core.connection;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks candidates for a key by rendezvous hashing, so that all hosts that know the same
 * candidates agree, and the loss of one candidate moves only what was its own.
 */
public final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;

	private static final long MIX_SECOND = 0x94d049bb133111ebL;

	private static final char SEPARATOR = '\n';

	private Rendezvous() {
	}

	/**
	 * Ranks candidates.
	 * @param <T> the type of the candidates
	 * @param key what the candidates are ranked for
	 * @param candidates the candidates
	 * @param name gives the name of a candidate, which tells it from the others
	 * @return the candidates, the one with the highest rank first
	 */
	public static <T> List<T> rank(String key, List<T> candidates, Function<T, String> name) {
		Comparator<T> byScore = Comparator.comparingLong((candidate) -> score(key, name.apply(candidate)));
		return candidates.stream().sorted(byScore.reversed().thenComparing(name)).toList();
	}

	private static long score(String key, String candidate) {
		return mix(hash(key + SEPARATOR + candidate));
	}

	private static long hash(String text) {
		return text.chars().asLongStream().reduce(FNV_OFFSET, (hash, next) -> (hash ^ next) * FNV_PRIME);
	}

	private static long mix(long hash) {
		long first = (hash ^ (hash >>> 30)) * MIX_FIRST;
		long second = (first ^ (first >>> 27)) * MIX_SECOND;
		return second ^ (second >>> 31);
	}

}
