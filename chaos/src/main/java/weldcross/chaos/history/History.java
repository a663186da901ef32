package weldcross.chaos.history;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import weldcross.chaos.load.ClientOperation;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Recorded history of a run: what clients observed, what servers did, and which faults were in
 * effect. Times are nanoseconds since the start of the load.
 *
 * @param operations requests of clients with their outcomes
 * @param unexpectedMessages messages that clients received without a matching request
 * @param commits writes that servers applied
 * @param reads reads that servers served
 * @param faults periods in which faults were in effect
 * @param views membership views that gateways logged; those of one gateway in log order
 * @param convergedAfterMillis milliseconds from the end of the last fault until all gateways had
 *     the same membership view of all gateways; negative if they did not converge in time, null
 *     without consensus
 */
public record History(
    @JsonProperty("asked") List<ClientOperation> operations,
    @JsonProperty("unasked") List<String> unexpectedMessages,
    @JsonProperty("effects") List<ReplicatedStoreModel.Commit> commits,
    List<ReplicatedStoreModel.Read> reads,
    @JsonProperty("troubles") List<FaultInterval> faults,
    List<ReportedView> views,
    @JsonProperty("agreedAfter") Long convergedAfterMillis) {

  /**
   * Creates the history of a run without consensus.
   *
   * @param operations requests of clients with their outcomes
   * @param unexpectedMessages messages that clients received without a matching request
   * @param commits writes that servers applied
   * @param reads reads that servers served
   * @param faults periods in which faults were in effect
   */
  public History(
      List<ClientOperation> operations,
      List<String> unexpectedMessages,
      List<ReplicatedStoreModel.Commit> commits,
      List<ReplicatedStoreModel.Read> reads,
      List<FaultInterval> faults) {
    this(operations, unexpectedMessages, commits, reads, faults, List.of(), null);
  }

  /**
   * A membership view that a gateway logged.
   *
   * @param gateway name of the gateway
   * @param process number of the gateway's process that logged the view, from 1
   * @param number number of the view
   * @param members members with their incarnations, as logged
   */
  public record ReportedView(String gateway, int process, long number, String members) {}

  /**
   * A period in which a fault was in effect, including the recovery period after its healing.
   *
   * @param from start of the period
   * @param until end of the period
   * @param unresponsiveGateways gateways whose clients may get no answer because of the fault
   * @param closingGateways gateways that close their connections gracefully because of the fault
   * @param description kind, hosts and details of the fault
   */
  public record FaultInterval(
      long from,
      long until,
      @JsonProperty("hosts") List<String> unresponsiveGateways,
      @JsonProperty("closing") List<String> closingGateways,
      @JsonProperty("what") String description) {

    /** Accepts histories stored by earlier versions, which had no closing gateways. */
    public FaultInterval {
      closingGateways = closingGateways == null ? List.of() : closingGateways;
    }

    /**
     * Creates the period of a fault because of which no gateway closes connections gracefully.
     *
     * @param from start of the period
     * @param until end of the period
     * @param unresponsiveGateways gateways whose clients may get no answer because of the fault
     * @param description kind, hosts and details of the fault
     */
    public FaultInterval(
        long from, long until, List<String> unresponsiveGateways, String description) {
      this(from, until, unresponsiveGateways, List.of(), description);
    }

    /** Whether the gateway may have closed the operation's connection gracefully. */
    boolean mayCloseConnectionOf(ClientOperation operation) {
      return closingGateways.contains(operation.gateway()) && overlaps(operation, 0);
    }

    /** Whether the operation may stay unanswered because of the fault. */
    boolean mayPreventAnswerTo(ClientOperation operation) {
      return unresponsiveGateways.contains(operation.gateway()) && overlaps(operation, 0);
    }

    /** Whether the operation was open during the fault or within some time after its end. */
    boolean overlaps(ClientOperation operation, long extraNanos) {
      return from <= operation.ended() && until + extraNanos >= operation.sent();
    }
  }

  /** Finds the fault because of which an operation may have stayed unanswered. */
  Optional<String> faultPreventingAnswerTo(ClientOperation operation) {
    return faults.stream()
        .filter(fault -> fault.mayPreventAnswerTo(operation))
        .map(FaultInterval::description)
        .findFirst();
  }
}
