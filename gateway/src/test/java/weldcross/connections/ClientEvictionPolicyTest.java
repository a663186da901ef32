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
  void silentClientIsEvictedFirstThenOneRequestThenLongestIdle() {
    policy.consider("busy", 5, null);
    assertEquals(Optional.empty(), policy.choose());
    policy.consider("brief", 5, at(900));
    assertEquals(Optional.empty(), policy.choose(), "it would come back at once");
    policy.consider("long", 5, at(700));
    policy.consider("longer", 9, at(600));
    assertEquals(Optional.of("longer"), policy.choose());
    policy.consider("once", 1, at(990));
    policy.consider("once before", 1, at(980));
    assertEquals(Optional.of("once before"), policy.choose());
    policy.consider("silent", 0, at(999));
    policy.consider("silent later", 0, null);
    assertEquals(Optional.of("silent"), policy.choose());
  }
}
