package weldcross.chaos.history;

import java.util.List;
import weldcross.chaos.load.ClientOperation;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * What a trial leaves to judge by: what clients saw, what servers did, and when which host had
 * trouble. All times since the load began, in nanoseconds.
 *
 * @param unasked what clients were told that nobody had asked for
 * @param views what gateways said they had agreed on
 * @param agreedAfter milliseconds from the end of all troubles until all held one view of all;
 *     below zero where that did not come, null where nothing is agreed
 */
public record History(
    List<ClientOperation> asked,
    List<String> unasked,
    List<ReplicatedStoreModel.Effect> effects,
    List<ReplicatedStoreModel.Read> reads,
    List<Trouble> troubles,
    List<Held> views,
    Long agreedAfter) {

  /** Of a trial without agreement. */
  public History(
      List<ClientOperation> asked,
      List<String> unasked,
      List<ReplicatedStoreModel.Effect> effects,
      List<ReplicatedStoreModel.Read> reads,
      List<Trouble> troubles) {
    this(asked, unasked, effects, reads, troubles, List.of(), null);
  }

  /**
   * A view that a gateway said it held, in the order in which it said so.
   *
   * @param process which of the gateway's processes, from 1
   * @param members as it told them, with their lives
   */
  public record Held(String gateway, int process, long number, String members) {}

  /**
   * A span in which something was wrong by order of the scenario, with what it left behind.
   *
   * @param until when it was healed and had been looked at: a process serves again, a way is free
   * @param hosts gateways whose clients it excuses from an answer
   */
  public record Trouble(long from, long until, List<String> hosts, String what) {

    boolean touches(String host, long begin, long end) {
      return hosts.contains(host) && from <= end && until >= begin;
    }
  }
}
