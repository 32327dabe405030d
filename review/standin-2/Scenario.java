import java.nio.file.Path;

/** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
interface Scenario {

	int run(boolean trouble) throws Exception;

	/**
	 * Runs a case and ends the process with its status.
	 * @param arguments the file for the record, and 1 for a run with the disruption
	 * @param scenario the case
	 */
	static void main(String[] arguments, Scenario scenario) {
		Record.open(Path.of(arguments[0]));
		boolean trouble = !arguments[1].equals("0");
		Record.line(trouble ? "with the disruption" : "without the disruption");
		int status = 2;
		try {
			status = scenario.run(trouble);
		}
		catch (Exception | Error ex) {
			Record.line("the case could not run: " + ex);
		}
		Record.line("exit " + status);
		System.exit(status);
	}

}
