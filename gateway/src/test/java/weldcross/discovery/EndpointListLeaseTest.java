package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EndpointListLeaseTest {

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  /**
   * Rule 3: what came right behind the last word counts as told 6 s later, whoever notices what.
   */
  @Test
  void listStandsSixSecondsAndTheDrainsTimeAfterTheLastWord() {
    EndpointListLease term = new EndpointListLease(ms(500), false);
    assertFalse(term.stands(Duration.ZERO), "nothing was said yet");
    term.spoke(ms(1_000), ms(4_000));
    assertTrue(term.stands(ms(7_499)));
    assertFalse(term.stands(ms(7_500)));
  }

  /** Without a call open on which it could be told, what discovery has counts at once. */
  @Test
  void listStandsTheDrainsTimeAfterTheLossOfDiscovery() {
    EndpointListLease term = new EndpointListLease(ms(2_000), false);
    term.spoke(ms(1_000), ms(4_000));
    term.unheard(ms(3_000));
    assertTrue(term.stands(ms(4_999)));
    assertFalse(term.stands(ms(5_000)));
    term.unheard(ms(4_000));
    assertEquals(ms(5_000), term.end(), "heard no later than before");
  }

  /**
   * One that fell silent is found, and the list asked for anew, well before what it missed counts.
   */
  @Test
  void watchLeavesTimeToAskAnew() {
    assertEquals(ms(1_500), EndpointListLease.watch(ms(10_000), false));
    assertEquals(
        ms(1_000), EndpointListLease.watch(ms(2_000), false), "no longer than the service allows");
    assertEquals(
        ms(10_000), EndpointListLease.watch(ms(10_000), true), "each is a call on what all share");
  }

  /**
   * Rule 3: discovery that is down has nothing to tell, but a watch may have missed what it had
   * before.
   */
  @Test
  void discoveryThatIsDownLeavesTheListInForceUntilWhatASilentWatchMissedCounts() {
    EndpointListLease term = new EndpointListLease(ms(500), false);
    term.spoke(ms(1_000), ms(1_500));
    term.unheard(ms(3_500));
    assertEquals(ms(4_000), term.end());
    term.nothingCame(ms(3_800));
    assertEquals(ms(7_500), term.end());
    term.unheard(ms(5_000));
    term.nothingCame(ms(5_500));
    assertEquals(
        ms(5_500),
        term.end(),
        "lapsed: it could not be asked for a while, and may have had news then");
  }

  /** Rule 3: what has begun to come is had by discovery, and binds though the rest never comes. */
  @Test
  void halfAnAnswerEndsWhatSilenceAllows() {
    EndpointListLease term = new EndpointListLease(ms(500), false);
    term.spoke(ms(1_000), ms(1_500));
    term.begun(ms(2_000));
    assertEquals(ms(7_500), term.end(), "the call is open, and the rest may come");
    term.unheard(ms(2_400));
    term.nothingCame(ms(2_700));
    assertEquals(ms(2_500), term.end(), "nor does later silence take it back");
    term.spoke(ms(3_000), ms(1_500));
    term.unheard(ms(5_500));
    term.nothingCame(ms(5_800));
    term.begun(ms(6_000));
    assertEquals(ms(6_500), term.end());
  }

  /** Rule 3: the old address may go on to speak, and knows nothing of what the new one has. */
  @Test
  void listStandsUntilWhatANewAddressHasCountsUnlessItSpeaks() {
    EndpointListLease term = new EndpointListLease(ms(2_000), false);
    term.spoke(ms(1_000), ms(4_000));
    term.moved(ms(2_000));
    term.spoke(ms(5_000), ms(4_000));
    assertTrue(term.stands(ms(7_999)));
    assertFalse(term.stands(ms(8_000)));
    term.arrived();
    assertEquals(ms(13_000), term.end());
  }

  /** Rule 3: what a call missed that was silent before it failed counts from the last word on. */
  @Test
  void onRequestAListStandsSixSecondsFromTheLastWordWhateverBecomesOfTheCalls() {
    EndpointListLease term = new EndpointListLease(ms(2_000), true);
    term.spoke(ms(1_000), ms(10_000));
    assertEquals(
        ms(15_000),
        term.end(),
        "while a watch is waited for what it misses counts 2 s after its wait");
    term.unheard(ms(9_500));
    assertFalse(term.stands(ms(9_500)));
    term.spoke(ms(10_000), ms(1));
    assertEquals(ms(18_000), term.end());
    term.unheard(ms(12_000));
    assertEquals(ms(18_000), term.end());
  }
}
