package review3;

import java.nio.charset.StandardCharsets;

/**
 * The answer of a stand-in, or of a host to a client.
 *
 * @param status the status; {@link #NONE} if there was no answer
 * @param body the body
 */
record HttpResponse(int status, byte[] body) {

	/** No answer: the call timed out, or its connection broke. */
	static final int NONE = 0;

	/** A stand-in that gives this answer leaves the call unanswered. */
	static final HttpResponse UNANSWERED = new HttpResponse(NONE, new byte[0]);

	/** A stand-in that gives this answer resets the connection. */
	static final HttpResponse RESET = new HttpResponse(-1, new byte[0]);

	static HttpResponse json(int status, String body) {
		return new HttpResponse(status, body.getBytes(StandardCharsets.UTF_8));
	}

	String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	boolean isAccepted() {
		return this.status >= 200 && this.status < 300;
	}

}
