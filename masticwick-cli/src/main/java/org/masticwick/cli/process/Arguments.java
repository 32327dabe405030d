package org.masticwick.cli.process;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Declares and parses the arguments that several commands share.
 */
public final class Arguments {

	/** Key of the value of {@code --host} among the parsed arguments. */
	public static final String HOST = "host";

	private Arguments() {
	}

	/**
	 * Declares the flag {@code --host}.
	 * @param parser the parser of the command
	 */
	public static void addHosts(Subparser parser) {
		parser.addArgument("--host")
			.dest(HOST)
			.metavar("URL[,URL...]")
			.required(true)
			.help("URLs of the entry hosts, tried in this order");
	}

	/**
	 * Declares the flags {@code --platform} and {@code --timeout-ms} of commands that
	 * publish release notes.
	 * @param parser the parser of the command
	 */
	static void addPlatform(Subparser parser) {
		parser.addArgument("--platform").required(true).metavar("URL").help("URL of the platform");
		parser.addArgument("--timeout-ms")
			.dest("timeout")
			.type(Integer.class)
			.setDefault(30_000)
			.help("how long to try to publish the note and to read the verdict, in milliseconds; default 30000");
	}

	/**
	 * Parses the value of {@code --platform}.
	 * @param arguments the parsed arguments
	 * @return the URL of the platform
	 */
	static HttpUrl platform(Namespace arguments) {
		return url(arguments.getString("platform"));
	}

	/**
	 * Returns the value of {@code --timeout-ms}.
	 * @param arguments the parsed arguments
	 * @return the timeout
	 */
	static Duration timeout(Namespace arguments) {
		return Duration.ofMillis(arguments.getInt("timeout"));
	}

	/**
	 * Declares the positional argument for the ticket of a job.
	 * @param parser the parser of the command
	 */
	public static void addTicket(Subparser parser) {
		parser.addArgument("ticket").metavar("TICKET").help("the ticket of the job");
	}

	/**
	 * Parses the value of {@code --host}.
	 * @param arguments the parsed arguments
	 * @return the URLs of the entry hosts, in the order given
	 */
	public static List<HttpUrl> hosts(Namespace arguments) {
		return urls(arguments.getString(HOST));
	}

	/**
	 * Parses a comma-separated list of URLs; empty elements are skipped.
	 * @param text the text; {@code http://} is assumed where the scheme is missing
	 * @return the URLs
	 * @throws MasticwickException with {@link ErrorCode#INVALID_REQUEST} if an element is
	 * not a URL
	 */
	public static List<HttpUrl> urls(String text) {
		return Stream.of(text.split(","))
			.map(String::strip)
			.filter((url) -> !url.isEmpty())
			.map(Arguments::url)
			.toList();
	}

	/**
	 * Parses a URL.
	 * @param text the text; {@code http://} is assumed where the scheme is missing
	 * @return the URL
	 * @throws MasticwickException with {@link ErrorCode#INVALID_REQUEST} if the text is
	 * not a URL
	 */
	public static HttpUrl url(String text) {
		HttpUrl url = HttpUrl.parse(text.contains("://") ? text : "http://" + text);
		if (url == null) {
			throw new MasticwickException(ErrorCode.INVALID_REQUEST, "Not a URL: " + text);
		}
		return url;
	}

}
