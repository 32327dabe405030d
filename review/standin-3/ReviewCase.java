package review3;

/**
 * A case of the review.
 */
interface ReviewCase {

	/**
	 * Runs the case.
	 * @param record where to write what was sent, answered and run
	 * @param trouble whether to cause the disruption
	 * @return whether the rule held
	 * @throws Exception if the case could not run
	 */
	Verdict run(Record record, boolean trouble) throws Exception;

}
