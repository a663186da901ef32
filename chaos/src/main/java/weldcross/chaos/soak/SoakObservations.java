package weldcross.chaos.soak;

import java.time.Duration;
import java.util.List;
import weldcross.chaos.history.History;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * What a soak recorded. Times are since the load began.
 *
 * @param history what clients saw and what servers did
 * @param arrivals requests that reached servers, whatever became of them
 * @param exits how processes of gateways ended
 * @param closes when gateways may close connections that clients still use
 * @param drains when servers drained
 */
public record SoakObservations(
    History history,
    List<ReplicatedStoreModel.Arrival> arrivals,
    List<ProcessExit> exits,
    List<CloseWindow> closes,
    List<Drain> drains) {

  /**
   * A time in which a gateway may close a connection while its client sends.
   *
   * @param gateway its name
   * @param from when it began to stop, or a crowd came
   * @param until when the gateway had ended, or the crowd had gone
   */
  public record CloseWindow(String gateway, Duration from, Duration until) {

    boolean covers(String otherGateway, long nanos) {
      return gateway.equals(otherGateway) && from.toNanos() <= nanos && nanos <= until.toNanos();
    }
  }

  /**
   * A time in which a server drained.
   *
   * @param server its name
   * @param from when discovery was told
   * @param until when discovery was told that it is active again
   */
  public record Drain(String server, Duration from, Duration until) {}
}
