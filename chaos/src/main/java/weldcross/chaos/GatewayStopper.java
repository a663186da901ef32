package weldcross.chaos;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import weldcross.chaos.load.PersistentClients;
import weldcross.chaos.load.RequestType;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.soak.ProcessExit;

/**
 * Stops gateways as a platform does: SIGTERM, for a moment more new connections, SIGKILL at the
 * earliest moment that the protocol page allows.
 */
final class GatewayStopper {

  /** The longest deadline counts as this long where it is longer. */
  private static final Duration MAX_COUNTED_DEADLINE = Duration.ofSeconds(3);

  private static final Duration AFTER_DEADLINE = Duration.ofMillis(700);

  /** How long after SIGTERM new connections keep coming. */
  private static final Duration CONNECTING_TIME = Duration.ofMillis(300);

  private final PersistentClients clients;
  private final LongSupplier clock;

  /**
   * Creates a stopper.
   *
   * @param clock nanoseconds since the load began
   */
  GatewayStopper(PersistentClients clients, LongSupplier clock) {
    this.clients = clients;
    this.clock = clock;
  }

  /** Returns the time from SIGTERM to the earliest SIGKILL. */
  static Duration killDelay() {
    Duration longest =
        Stream.of(RequestType.values()).map(RequestType::deadline).max(Duration::compareTo).get();
    Duration counted = longest.compareTo(MAX_COUNTED_DEADLINE) < 0 ? longest : MAX_COUNTED_DEADLINE;
    return counted.plus(AFTER_DEADLINE);
  }

  /**
   * Stops a process; returns when it has ended.
   *
   * @param pauses before each SIGTERM
   * @param reload whether each SIGTERM has a SIGHUP just before it
   * @param starting whether the process may not be ready yet
   */
  ProcessExit stop(GatewayNode gateway, List<Duration> pauses, boolean reload, boolean starting)
      throws IOException {
    ManagedProcess process = gateway.process();
    Duration termAt = null;
    for (Duration pause : pauses) {
      LockSupport.parkNanos(pause.toNanos());
      if (termAt == null && !process.isAlive()) {
        return new ProcessExit(
            gateway.name(), null, now(), false, process.exitStatus().orElse(-1), starting);
      }
      if (reload) {
        process.hangUp();
      }
      process.terminate();
      termAt = termAt == null ? now() : termAt;
    }
    waitUntil(termAt.plus(CONNECTING_TIME));
    clients.forbidConnecting(gateway.number());
    Duration left = termAt.plus(killDelay()).minus(now());
    boolean ended = process.awaitExit(left.isNegative() ? Duration.ZERO : left);
    if (!ended) {
      process.kill();
    }
    int status = ended ? process.exitStatus().orElse(-1) : 0;
    return new ProcessExit(gateway.name(), termAt, now(), !ended, status, starting);
  }

  /** Starts a process; clients connect to it as soon as it listens. */
  void start(GatewayNode gateway) throws IOException {
    gateway.start();
    clients.processStarted(gateway.number());
  }

  private Duration now() {
    return Duration.ofNanos(clock.getAsLong());
  }

  private void waitUntil(Duration when) {
    for (Duration left = when.minus(now()); !left.isNegative(); left = when.minus(now())) {
      LockSupport.parkNanos(Math.max(1, left.toNanos()));
    }
  }
}
