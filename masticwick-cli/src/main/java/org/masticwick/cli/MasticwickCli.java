package org.masticwick.cli;

/**
 * Entry point of the process.
 */
public final class MasticwickCli {

	private MasticwickCli() {
	}

	/**
	 * Starts the process.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(0);
	}

}
