package weldcross.simulator;

import java.time.Duration;
import java.util.HexFormat;
import weldcross.gossip.GossipMessage;
import weldcross.routing.RequestId;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;

/** Writes the actions of one instance as lines of the simulator protocol. */
final class SimulatorActions implements RouterActions {

  /** Name of the periodic timer in the protocol. */
  static final String TICK_NAME = "timer";

  /** Name of the one-shot timer in the protocol. */
  private static final String TIMER_NAME = "due";

  private static final int NANOS_PER_MICRO = 1000;

  private final StringBuilder reply;
  private final int instance;
  private final long startMicros;

  /**
   * Creates the actions of an instance.
   *
   * @param reply the reply to which the lines are appended
   * @param startMicros start time of the instance on the simulator's clock
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

  /** Appends a line that reports an exception of an instance. */
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
    beginLine("CALL_OUT")
        .append(request.name())
        .append(' ')
        .append(server.name())
        .append(' ')
        .append(clockMicros(expiresAt))
        .append('\n');
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    beginLine("ABORT_ATTEMPT").append(request.name()).append(' ').append(attempt).append('\n');
  }

  @Override
  public void reject(RequestId request, Duration retryAfter) {
    beginLine("SHED")
        .append(request.name())
        .append(' ')
        .append(retryAfter.toNanos() / NANOS_PER_MICRO)
        .append('\n');
  }

  @Override
  public void fail(RequestId request) {
    beginLine("END_FAILED").append(request.name()).append('\n');
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    beginLine("POLL").append(server.name()).append('\n');
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    beginLine("TELL")
        .append("all ")
        .append(HexFormat.of().formatHex(GossipMessage.encode(server)))
        .append('\n');
  }

  @Override
  public void endpointRemoved(ServerId server) {
    // The simulator manages the connections.
  }

  @Override
  public void requestEndpointList() {
    beginLine("OBSERVE").append("1\n");
  }

  @Override
  public void scheduleTick(Duration at) {
    schedule(TICK_NAME, at);
  }

  @Override
  public void scheduleTimer(Duration at) {
    schedule(TIMER_NAME, at);
  }

  /** Rounds up to whole microseconds, the unit of the protocol, so that no timer fires early. */
  private void schedule(String timerName, Duration at) {
    long roundedUp = clockMicros(at.plusNanos(NANOS_PER_MICRO - 1));
    beginLine("WAKE_ME").append(timerName).append(' ').append(roundedUp).append('\n');
  }

  private StringBuilder beginLine(String action) {
    return reply.append(action).append(' ').append(instance).append(' ');
  }

  private long clockMicros(Duration sinceStart) {
    return startMicros + sinceStart.toNanos() / NANOS_PER_MICRO;
  }
}
