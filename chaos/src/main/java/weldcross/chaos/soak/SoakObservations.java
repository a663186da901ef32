package weldcross.chaos.soak;

import java.time.Duration;
import java.util.List;
import weldcross.chaos.history.History;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Recorded observations of a soak test. Times are relative to the start of the load.
 *
 * @param history what clients observed and what servers did
 * @param arrivals requests that reached servers, regardless of their outcome
 * @param exits how gateway processes ended
 * @param closeWindows periods in which gateways may close connections that clients still use
 * @param drains periods in which servers were draining
 */
public record SoakObservations(
    History history,
    List<ReplicatedStoreModel.Arrival> arrivals,
    List<ProcessExit> exits,
    List<CloseWindow> closeWindows,
    List<Drain> drains) {

  /**
   * A period in which a gateway may close a connection while its client sends a request.
   *
   * @param gateway name of the gateway
   * @param from start of the shutdown or of a burst of idle connections
   * @param until exit of the gateway process or end of the burst
   */
  public record CloseWindow(String gateway, Duration from, Duration until) {

    boolean covers(String otherGateway, long nanos) {
      return gateway.equals(otherGateway) && from.toNanos() <= nanos && nanos <= until.toNanos();
    }
  }

  /**
   * A period in which a server was draining.
   *
   * @param server name of the server
   * @param from when discovery published the server as draining
   * @param until when discovery published the server as active again
   */
  public record Drain(String server, Duration from, Duration until) {}
}
