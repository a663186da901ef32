package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import weldcross.chaos.process.Await;

/** Reads gateway logs and waits for lines in them. */
final class GatewayLogAssertions {

  /** Start of the message that a gateway logs when the state of a member changes. */
  static final String STATE_CHANGED = "membership: member state changed: ";

  private GatewayLogAssertions() {}

  /** Returns the whole log of a gateway; empty if it does not exist yet. */
  static String log(GatewayNode gateway) {
    try {
      return Files.readString(gateway.log());
    } catch (IOException e) {
      return "";
    }
  }

  /** Waits until the log of a gateway contains a text at or after an offset. */
  static void awaitLog(GatewayNode gateway, int from, String text, Duration timeout)
      throws IOException {
    Await.until(
        gateway.name() + " logs: " + text,
        timeout,
        () -> log(gateway).substring(from).contains(text));
  }

  /** Waits until each gateway has logged every other gateway as alive. */
  static void awaitAllAlive(ChaosCluster cluster, Duration timeout) throws IOException {
    for (GatewayNode gateway : cluster.gateways()) {
      for (GatewayNode peer : cluster.gateways()) {
        if (gateway != peer) {
          String line = STATE_CHANGED + "peer=" + peer.name() + " state=ALIVE";
          awaitLog(gateway, 0, line, timeout);
        }
      }
    }
  }
}
