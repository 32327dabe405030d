import java.util.List;

/**
 * A site whose zone east has one of its eight workers, a share of 0.125, and the host that
 * orders all workers.
 */
final class SmallZone {

	static final String ZONE = "east";

	private static final List<Integer> WORKERS = List.of(1, 4, 3);

	private static final int MAX_TRIES = 3;

	private SmallZone() {
	}

	/** Starts sites until such a host is the owner; or returns null. */
	static Site start(long workerCpu) throws Exception {
		for (int tried = 0; tried < MAX_TRIES; tried++) {
			Site site = new Site(2, WORKERS, workerCpu, 2_000);
			if (!site.start()) {
				site.close();
				return null;
			}
			Host owner = site.settledOwner();
			if (owner != null && owner.zone().equals(ZONE)) {
				return site;
			}
			Record.line("the owner is of another zone; another site is started");
			site.close();
		}
		return null;
	}

	/** The zone is lost for good: its hosts are killed and its worker crashes. */
	static void lose(Site site) {
		Record.line("the hosts and the worker of zone " + ZONE + " are lost for good");
		site.hosts().stream().filter((host) -> host.zone().equals(ZONE)).forEach(Host::kill);
		site.workers().stream().filter((worker) -> worker.zone().equals(ZONE)).forEach(Worker::crash);
	}

}
