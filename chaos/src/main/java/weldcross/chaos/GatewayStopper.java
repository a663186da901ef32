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
 * Stops gateways as a platform does: sends SIGTERM, keeps opening new connections for a moment, and
 * sends SIGKILL at the end of the shortest grace period that the protocol allows.
 */
final class GatewayStopper {

  /** Upper limit of the request deadline that the grace period takes into account. */
  private static final Duration MAX_COUNTED_DEADLINE = Duration.ofSeconds(3);

  /** Part of the grace period that is added to the longest deadline. */
  private static final Duration AFTER_DEADLINE = Duration.ofMillis(700);

  /** How long clients keep opening connections after SIGTERM. */
  private static final Duration NEW_CONNECTIONS_PERIOD = Duration.ofMillis(300);

  private final PersistentClients clients;
  private final LongSupplier clock;

  /**
   * Creates a stopper.
   *
   * @param clients the clients of the gateways
   * @param clock nanoseconds since the start of the load
   */
  GatewayStopper(PersistentClients clients, LongSupplier clock) {
    this.clients = clients;
    this.clock = clock;
  }

  /** Returns the grace period: the time from SIGTERM to the earliest SIGKILL. */
  static Duration gracePeriod() {
    Duration longestDeadline =
        Stream.of(RequestType.values()).map(RequestType::deadline).max(Duration::compareTo).get();
    Duration countedDeadline =
        longestDeadline.compareTo(MAX_COUNTED_DEADLINE) < 0
            ? longestDeadline
            : MAX_COUNTED_DEADLINE;
    return countedDeadline.plus(AFTER_DEADLINE);
  }

  /**
   * Stops the current process of a gateway and waits until it has ended.
   *
   * @param gateway the gateway to stop
   * @param pauses the pause before each SIGTERM, one for each signal
   * @param reload whether to send SIGHUP immediately before each SIGTERM
   * @param starting whether the process may not be ready yet
   */
  ProcessExit stop(GatewayNode gateway, List<Duration> pauses, boolean reload, boolean starting)
      throws IOException {
    ManagedProcess process = gateway.process();
    Duration sigtermAt = null;
    for (Duration pause : pauses) {
      LockSupport.parkNanos(pause.toNanos());
      if (sigtermAt == null && !process.isAlive()) {
        return new ProcessExit(
            gateway.name(), null, now(), false, process.exitStatus().orElse(-1), starting);
      }
      if (reload) {
        process.hangUp();
      }
      process.terminate();
      sigtermAt = sigtermAt == null ? now() : sigtermAt;
    }
    waitUntil(sigtermAt.plus(NEW_CONNECTIONS_PERIOD));
    clients.forbidConnecting(gateway.number());
    Duration remaining = sigtermAt.plus(gracePeriod()).minus(now());
    boolean ended = process.awaitExit(remaining.isNegative() ? Duration.ZERO : remaining);
    if (!ended) {
      process.kill();
    }
    int status = ended ? process.exitStatus().orElse(-1) : 0;
    return new ProcessExit(gateway.name(), sigtermAt, now(), !ended, status, starting);
  }

  /** Starts a process of a gateway; clients connect to it as soon as it listens. */
  void start(GatewayNode gateway) throws IOException {
    gateway.start();
    clients.processStarted(gateway.number());
  }

  private Duration now() {
    return Duration.ofNanos(clock.getAsLong());
  }

  private void waitUntil(Duration time) {
    for (Duration left = time.minus(now()); !left.isNegative(); left = time.minus(now())) {
      LockSupport.parkNanos(Math.max(1, left.toNanos()));
    }
  }
}
