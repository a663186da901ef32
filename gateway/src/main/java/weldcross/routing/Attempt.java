package weldcross.routing;

import java.time.Duration;

/**
 * One send of a request to one endpoint. The request and the number identify it.
 *
 * @param number counts the attempts of the request from zero
 * @param expectedSeconds how long an answer was expected to take when it was sent
 * @param inSlowStart whether it counts against the slow-start budget of its endpoint
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
