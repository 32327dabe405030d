package org.masticwick.core.connection;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Aggregates the load of the entry hosts of a failure domain.
 */
public final class DomainLoad {

	private DomainLoad() {
	}

	/**
	 * Aggregates loads by service. Task and slot counts are summed; the expected wait is
	 * the mean over the hosts that report the service.
	 * @param statuses the status of each serving entry host of the domain
	 * @return the load of the domain by service name
	 */
	public static Map<String, ServiceLoad> of(List<PeerStatus> statuses) {
		Map<String, List<ServiceLoad>> byService = statuses.stream()
			.flatMap((status) -> status.load().services().entrySet().stream())
			.collect(Collectors.groupingBy(Map.Entry::getKey, TreeMap::new,
					Collectors.mapping(Map.Entry::getValue, Collectors.toList())));
		return byService.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> sum(entry.getValue())));
	}

	private static ServiceLoad sum(List<ServiceLoad> loads) {
		return new ServiceLoad(loads.stream().mapToInt(ServiceLoad::queuedCount).sum(),
				loads.stream().mapToInt(ServiceLoad::runningCount).sum(),
				loads.stream().mapToInt(ServiceLoad::slotCount).sum(),
				Math.round(loads.stream().mapToLong(ServiceLoad::waitMillis).average().orElse(0)));
	}

}
