package org.masticwick.daemon;

/**
 * Entry point of the process.
 */
public final class Masticwickd {

	private Masticwickd() {
	}

	/**
	 * Starts the process.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(0);
	}

}
