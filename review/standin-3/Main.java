package review3;

import java.nio.file.Path;

/**
 * Runs one case: {@code Main CASE FOLDER TROUBLE}, from the root of the repository. The exit
 * status is that of the {@link Verdict}. With 0 for TROUBLE there is no disruption.
 */
public final class Main {

	/** After this time a case ends, so that it lasts less than 120 seconds. */
	private static final long LIMIT_MILLIS = 116_000;

	private Main() {
	}

	public static void main(String[] arguments) {
		endAtLimit();
		Record record = new Record(Path.of(arguments[1], "record.txt"));
		boolean trouble = !arguments[2].equals("0");
		int status = Verdict.COULD_NOT_RUN.exitStatus();
		try {
			Verdict verdict = create(arguments[0]).run(record, trouble);
			record.line((trouble ? "with" : "without") + " the disruption: " + verdict);
			System.out.println("case " + arguments[0] + " " + (trouble ? "with" : "without") + " the disruption: "
					+ verdict);
			status = verdict.exitStatus();
		}
		catch (Exception ex) {
			record.line("the case could not run: " + ex);
			ex.printStackTrace();
		}
		record.close();
		System.exit(status);
	}

	private static void endAtLimit() {
		Thread watchdog = new Thread(() -> {
			Clock.sleep(LIMIT_MILLIS);
			System.exit(Verdict.COULD_NOT_RUN.exitStatus());
		});
		watchdog.setDaemon(true);
		watchdog.start();
	}

	private static ReviewCase create(String name) {
		return switch (name) {
			case "first-job" -> new FirstJobCase();
			case "waiting-label" -> new WaitingLabelCase();
			case "cancel-unstored" -> new CancelUnstoredCase();
			case "long-schedule" -> new LongScheduleCase();
			case "failing-lasting" -> new FailingLastingCase();
			case "soak" -> new SoakCase();
			default -> throw new IllegalArgumentException(name);
		};
	}

}
