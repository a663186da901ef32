package weldcross.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** From when on unread input may hide a disconnect. */
class UnreadInputPolicyTest {

  @Test
  void inputHidesADisconnectOnceItIsUnreadForTooLong() {
    Duration since = Duration.ofSeconds(3);
    assertFalse(UnreadInputPolicy.mayHideDisconnect(since.plusDays(1), null));
    assertFalse(UnreadInputPolicy.mayHideDisconnect(since, since));
    assertFalse(UnreadInputPolicy.mayHideDisconnect(since.plusMillis(50), since));
    assertTrue(UnreadInputPolicy.mayHideDisconnect(since.plusMillis(51), since));
  }
}
