package weldcross.simulator;

import java.time.Duration;
import java.util.HexFormat;
import weldcross.gossip.GossipMessage;
import weldcross.routing.RequestId;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;

/** Writes one instance's calls as lines of the bench's wire. */
final class SimulatorActions implements RouterActions {

  static final String TIMER = "timer";
  static final String DUE = "due";

  private final StringBuilder reply;
  private final int instance;
  private final long startMicros;

  SimulatorActions(StringBuilder reply, int instance, long startMicros) {
    this.reply = reply;
    this.instance = instance;
    this.startMicros = startMicros;
  }

  @Override
  public void sendAttempt(RequestId rpc, ServerId server, Duration until) {
    begin("CALL_OUT")
        .append(rpc.name())
        .append(' ')
        .append(server.name())
        .append(' ')
        .append(clock(until))
        .append('\n');
  }

  @Override
  public void cancel(RequestId rpc, int attempt) {
    begin("ABORT_ATTEMPT").append(rpc.name()).append(' ').append(attempt).append('\n');
  }

  @Override
  public void reject(RequestId rpc, Duration retryAfter) {
    begin("SHED").append(rpc.name()).append(' ').append(retryAfter.toNanos() / 1000).append('\n');
  }

  @Override
  public void fail(RequestId rpc) {
    begin("END_FAILED").append(rpc.name()).append('\n');
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    begin("POLL").append(server.name()).append('\n');
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    begin("TELL")
        .append("all ")
        .append(HexFormat.of().formatHex(GossipMessage.encode(server)))
        .append('\n');
  }

  @Override
  public void endpointRemoved(ServerId server) {
    // Nothing is kept here.
  }

  @Override
  public void watchEndpointList() {
    begin("OBSERVE").append("1\n");
  }

  @Override
  public void scheduleTick(Duration at) {
    begin("WAKE_ME").append(TIMER).append(' ').append(atOrAfter(at)).append('\n');
  }

  @Override
  public void scheduleTimer(Duration at) {
    begin("WAKE_ME").append(DUE).append(' ').append(atOrAfter(at)).append('\n');
  }

  private StringBuilder begin(String word) {
    return reply.append(word).append(' ').append(instance).append(' ');
  }

  /** A ring must not come before its time; the wire counts in whole microseconds. */
  private long atOrAfter(Duration since) {
    return clock(since.plusNanos(999));
  }

  private long clock(Duration since) {
    return startMicros + since.toNanos() / 1000;
  }
}
