package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClientEvictionPolicyTest {

  private static Duration at(int millis) {
    return Duration.ofMillis(millis);
  }

  private final ClientEvictionPolicy<String> policy = new ClientEvictionPolicy<>(at(1000), at(250));

  @Test
  void prefersClientsWithoutRequestsThenWithOneRequestThenLongestIdle() {
    policy.addCandidate("busy", 5, null);
    assertEquals(Optional.empty(), policy.choose());
    policy.addCandidate("idle for 100 ms", 5, at(900));
    assertEquals(Optional.empty(), policy.choose(), "it would reconnect immediately");
    policy.addCandidate("idle for 300 ms", 5, at(700));
    policy.addCandidate("idle for 400 ms", 9, at(600));
    assertEquals(Optional.of("idle for 400 ms"), policy.choose());
    policy.addCandidate("one request, idle for 10 ms", 1, at(990));
    policy.addCandidate("one request, idle for 20 ms", 1, at(980));
    assertEquals(Optional.of("one request, idle for 20 ms"), policy.choose());
    policy.addCandidate("first without a request", 0, at(999));
    policy.addCandidate("second without a request", 0, null);
    assertEquals(Optional.of("first without a request"), policy.choose());
  }
}
