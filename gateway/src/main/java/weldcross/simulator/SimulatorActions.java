package weldcross.simulator;

import java.time.Duration;
import java.util.HexFormat;
import weldcross.gossip.GossipMessage;
import weldcross.routing.RequestId;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;

/** Writes the actions of one instance as lines of the simulator's wire. */
final class SimulatorActions implements RouterActions {

  /** The name under which the wire keeps the periodic timer. */
  static final String TICK = "timer";

  /** The name under which the wire keeps the one-shot timer. */
  private static final String TIMER = "due";

  private static final int NANOS_PER_MICRO = 1000;

  private final StringBuilder reply;
  private final int instance;
  private final long startMicros;

  /**
   * Creates the actions of an instance.
   *
   * @param reply where the lines are appended
   * @param startMicros the start of the instance on the simulator's clock
   */
  SimulatorActions(StringBuilder reply, int instance, long startMicros) {
    this.reply = reply;
    this.instance = instance;
    this.startMicros = startMicros;
  }

  /** Appends the line that ends a reply. */
  static void endReply(StringBuilder reply) {
    reply.append("YIELD\n");
  }

  /** Appends that the instance has thrown. */
  static void reportFailure(StringBuilder reply, int instance, RuntimeException failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    reply
        .append("PANIC ")
        .append(instance)
        .append(' ')
        .append(failure.toString().replace('\n', ' '))
        .append(" at ")
        .append(trace.length > 0 ? trace[0] : null)
        .append('\n');
  }

  @Override
  public void sendAttempt(RequestId request, ServerId server, Duration expiresAt) {
    begin("CALL_OUT")
        .append(request.name())
        .append(' ')
        .append(server.name())
        .append(' ')
        .append(clockMicros(expiresAt))
        .append('\n');
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    begin("ABORT_ATTEMPT").append(request.name()).append(' ').append(attempt).append('\n');
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    begin("SHED")
        .append(request.name())
        .append(' ')
        .append(retryAfter.toNanos() / NANOS_PER_MICRO)
        .append('\n');
  }

  @Override
  public void fail(RequestId request) {
    begin("END_FAILED").append(request.name()).append('\n');
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
    // The simulator keeps the connections.
  }

  @Override
  public void watchEndpointList() {
    begin("OBSERVE").append("1\n");
  }

  @Override
  public void scheduleTick(Duration at) {
    schedule(TICK, at);
  }

  @Override
  public void scheduleTimer(Duration at) {
    schedule(TIMER, at);
  }

  /** Rounds up, as a timer must not fire early and the wire counts in whole microseconds. */
  private void schedule(String timer, Duration at) {
    long roundedUp = clockMicros(at.plusNanos(NANOS_PER_MICRO - 1));
    begin("WAKE_ME").append(timer).append(' ').append(roundedUp).append('\n');
  }

  private StringBuilder begin(String word) {
    return reply.append(word).append(' ').append(instance).append(' ');
  }

  private long clockMicros(Duration sinceStart) {
    return startMicros + sinceStart.toNanos() / NANOS_PER_MICRO;
  }
}
