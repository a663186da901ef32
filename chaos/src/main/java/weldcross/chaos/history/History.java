package weldcross.chaos.history;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import weldcross.chaos.load.ClientOperation;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * What a run recorded: what clients saw, what servers did, and when which host had a fault. All
 * times are nanoseconds since the load began.
 *
 * @param operations what clients sent and got
 * @param unexpectedMessages what clients got that they had not asked for
 * @param commits all writes that servers applied
 * @param reads all reads that servers served
 * @param faults when hosts had faults
 * @param views the membership views that gateways logged
 * @param convergedAfterMillis from the end of all faults until all gateways held one view of all;
 *     below zero if that did not come, null if nothing is agreed on
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
   * @param operations what clients sent and got
   * @param unexpectedMessages what clients got that they had not asked for
   * @param commits all writes that servers applied
   * @param reads all reads that servers served
   * @param faults when hosts had faults
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
   * A membership view that a gateway logged, in the order of its log.
   *
   * @param gateway its name
   * @param process which of the gateway's processes, from 1
   * @param number the number of the view
   * @param members as it logged them, with their incarnations
   */
  public record ReportedView(String gateway, int process, long number, String members) {}

  /**
   * A time in which a scenario had a fault act, with its after-effects.
   *
   * @param from when it began
   * @param until when it was healed and had been waited for
   * @param hosts gateways whose clients may get no answer because of it
   * @param closing gateways that close their connections in order because of it
   * @param description what it was
   */
  public record FaultInterval(
      long from,
      long until,
      List<String> hosts,
      List<String> closing,
      @JsonProperty("what") String description) {

    /** Takes what earlier versions stored, which had no closing gateways. */
    public FaultInterval {
      closing = closing == null ? List.of() : closing;
    }

    /**
     * Creates the interval of a fault in which no gateway closes connections in order.
     *
     * @param from when it began
     * @param until when it was healed and had been waited for
     * @param hosts gateways whose clients may get no answer because of it
     * @param description what it was
     */
    public FaultInterval(long from, long until, List<String> hosts, String description) {
      this(from, until, hosts, List.of(), description);
    }

    boolean closes(ClientOperation operation) {
      return closing.contains(operation.gateway())
          && from <= operation.ended()
          && until >= operation.sent();
    }

    boolean excuses(ClientOperation operation) {
      return hosts.contains(operation.gateway())
          && from <= operation.ended()
          && until >= operation.sent();
    }

    boolean isNear(ClientOperation operation, long aftermathNanos) {
      return from <= operation.ended() && until + aftermathNanos >= operation.sent();
    }
  }

  /** The fault that explains why a client got no answer. */
  Optional<String> excuseFor(ClientOperation operation) {
    return faults.stream()
        .filter(fault -> fault.excuses(operation))
        .map(FaultInterval::description)
        .findFirst();
  }
}
