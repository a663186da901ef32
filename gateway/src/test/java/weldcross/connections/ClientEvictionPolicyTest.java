package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ClientEvictionPolicyTest {

  private static Duration at(int millis) {
    return Duration.ofMillis(millis);
  }

  private final ClientEvictionPolicy<String> crowd = new ClientEvictionPolicy<>(at(1000), at(250));

  @Test
  void whoHasAskedNothingGoesFirstThenWhoAskedOnceThenWhoRestedLong() {
    crowd.one("busy", 5, null);
    assertNull(crowd.whoGoes());
    crowd.one("brief", 5, at(900));
    assertNull(crowd.whoGoes(), "it would come back at once");
    crowd.one("long", 5, at(700));
    crowd.one("longer", 9, at(600));
    assertEquals("longer", crowd.whoGoes());
    crowd.one("once", 1, at(990));
    crowd.one("once before", 1, at(980));
    assertEquals("once before", crowd.whoGoes());
    crowd.one("silent", 0, at(999));
    crowd.one("silent later", 0, null);
    assertEquals("silent", crowd.whoGoes());
  }
}
