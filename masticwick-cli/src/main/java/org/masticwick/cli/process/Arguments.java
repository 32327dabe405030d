package org.masticwick.cli.process;

import java.util.List;
import java.util.stream.Stream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Declares and reads arguments that several commands share.
 */
public final class Arguments {

	/** The hosts. */
	public static final String HOST = "host";

	private Arguments() {
	}

	/**
	 * Declares the hosts.
	 * @param parser the parser of the command
	 */
	public static void addHosts(Subparser parser) {
		parser.addArgument("--host")
			.dest(HOST)
			.metavar("URL[,URL...]")
			.required(true)
			.help("entry hosts, tried in this order");
	}

	/**
	 * Declares the ticket.
	 * @param parser the parser of the command
	 */
	public static void addTicket(Subparser parser) {
		parser.addArgument("ticket").metavar("TICKET").help("the ticket of the job");
	}

	/**
	 * Reads the hosts.
	 * @param arguments the arguments
	 * @return the hosts
	 */
	public static List<HttpUrl> hosts(Namespace arguments) {
		return urls(arguments.getString(HOST));
	}

	/**
	 * Reads URLs with commas between them.
	 * @param text the text; an address without a scheme is one of HTTP
	 * @return the URLs
	 * @throws MasticwickException if one is not a URL
	 */
	public static List<HttpUrl> urls(String text) {
		return Stream.of(text.split(","))
			.map(String::strip)
			.filter((url) -> !url.isEmpty())
			.map(Arguments::url)
			.toList();
	}

	/**
	 * Reads a URL.
	 * @param text the text; an address without a scheme is one of HTTP
	 * @return the URL
	 * @throws MasticwickException if it is not a URL
	 */
	public static HttpUrl url(String text) {
		HttpUrl url = HttpUrl.parse(text.contains("://") ? text : "http://" + text);
		if (url == null) {
			throw new MasticwickException(ErrorCode.INVALID_REQUEST, "Not a URL: " + text);
		}
		return url;
	}

}
