import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** A job that a client has sent, with what its tasks do. */
final class Job {

	final String id;

	final String prefix;

	final List<Step> steps = new ArrayList<>();

	boolean bestEffort;

	int repetitions;

	/** After how long a run that starts now ends `failed`, in milliseconds. */
	LongSupplier failAfterMillis = () -> Long.MAX_VALUE / 2;

	/** Whether its tasks last until it is cancelled. */
	boolean longRunning;

	long firstMillis;

	long intervalMillis;

	/** When the job was acknowledged, or -1. */
	volatile long ackMillis = -1;

	volatile boolean cancelSent;

	/** When its cancelling was acknowledged, or -1. */
	volatile long cancelAckMillis = -1;

	/** The answers to its submissions. */
	volatile String answers = "";

	/** The state that was shown last. */
	volatile String shown = "";

	Job(String id, String prefix) {
		this.id = id;
		this.prefix = prefix;
	}

	Job step(int count, int cpu, long runMillis, String label, int antiAffinity, boolean gang, Integer... after) {
		this.steps.add(new Step(count, cpu, runMillis, label, antiAffinity, gang, List.of(after)));
		return this;
	}

	int taskCount() {
		return this.steps.stream().mapToInt(Step::count).sum();
	}

	String body() {
		StringBuilder out = new StringBuilder("{\"task_spec\":").append(Json.quote("spec of " + this.id));
		if (this.bestEffort) {
			out.append(",\"best_effort\":true");
		}
		if (this.longRunning) {
			out.append(",\"long_running\":true");
		}
		if (this.repetitions > 0) {
			out.append(",\"repetitions\":").append(this.repetitions);
			out.append(",\"first_ms\":").append(this.firstMillis);
			out.append(",\"interval_ms\":").append(this.intervalMillis);
		}
		out.append(",\"steps\":[");
		String comma = "";
		for (Step step : this.steps) {
			out.append(comma).append("{\"count\":").append(step.count()).append(",\"cpu\":").append(step.cpu());
			out.append(",\"mem_mb\":64,\"estimated_ms\":").append(step.runMillis());
			if (!step.label().isEmpty()) {
				out.append(",\"requirements\":").append(Json.quote(step.label()));
			}
			if (step.antiAffinity() > 0) {
				out.append(",\"anti_affinity\":").append(step.antiAffinity());
			}
			if (step.gang()) {
				out.append(",\"gang_scheduled\":true");
			}
			if (!step.after().isEmpty()) {
				out.append(",\"after\":").append(step.after());
			}
			out.append('}');
			comma = ",";
		}
		return out.append("]}").toString();
	}

	record Step(int count, int cpu, long runMillis, String label, int antiAffinity, boolean gang,
			List<Integer> after) {
	}

}
