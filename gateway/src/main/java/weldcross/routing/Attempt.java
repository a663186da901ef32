package weldcross.routing;

import java.time.Duration;

/**
 * One transmission of a request to one endpoint, identified by the request and the attempt number.
 *
 * @param number the zero-based number of this attempt among the attempts of the request
 * @param expectedSeconds the latency that was expected when the attempt was sent
 * @param inSlowStart whether the attempt counts against the slow-start budget of its endpoint
 */
record Attempt(
    RequestState request,
    EndpointState endpoint,
    int number,
    Duration sentAt,
    double expectedSeconds,
    boolean inSlowStart) {

  @Override
  public boolean equals(Object other) {
    return other instanceof Attempt attempt
        && attempt.request == request
        && attempt.number == number;
  }

  @Override
  public int hashCode() {
    return request.id.hashCode();
  }
}
