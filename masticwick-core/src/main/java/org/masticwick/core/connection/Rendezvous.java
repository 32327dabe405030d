package org.masticwick.core.connection;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks candidates for a key by rendezvous hashing (highest random weight). All hosts
 * with the same candidates compute the same ranking, and the loss of a candidate
 * reassigns only the keys that it ranked first for.
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
	 * Ranks candidates for a key.
	 * @param <T> the type of the candidates
	 * @param key the key to assign
	 * @param candidates the candidates
	 * @param nameOf returns the unique name of a candidate, which is hashed together with
	 * the key
	 * @return the candidates in descending order of their scores
	 */
	public static <T> List<T> rank(String key, List<T> candidates, Function<T, String> nameOf) {
		Comparator<T> byScore = Comparator.comparingLong((candidate) -> score(key, nameOf.apply(candidate)));
		return candidates.stream().sorted(byScore.reversed().thenComparing(nameOf)).toList();
	}

	private static long score(String key, String candidate) {
		return mix(hash(key + SEPARATOR + candidate));
	}

	private static long hash(String text) {
		return text.chars().asLongStream().reduce(FNV_OFFSET, (hash, character) -> (hash ^ character) * FNV_PRIME);
	}

	private static long mix(long hash) {
		long first = (hash ^ (hash >>> 30)) * MIX_FIRST;
		long second = (first ^ (first >>> 27)) * MIX_SECOND;
		return second ^ (second >>> 31);
	}

}
