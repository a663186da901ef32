package weldcross.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SessionMarksTest {

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  private record Plain(long commit, long putAt) {}

  /** Beside a plain map: nothing is kept too short, too long, too small or too many. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void isAMapWhoseEntriesExpire(long seed) {
    SplittableRandom dice = new SplittableRandom(seed);
    int most = 1 + dice.nextInt(300);
    long kept = 640 + dice.nextInt(5000);
    int sessions = 1 + dice.nextInt(2 * most);
    SessionMarks marks = new SessionMarks(most, ms(kept));
    Map<Long, Plain> plain = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += dice.nextInt(40) == 0 ? dice.nextLong(2 * kept) : dice.nextInt(8);
      long session = dice.nextInt(sessions) * 0x10000L;
      if (dice.nextBoolean()) {
        long commit = dice.nextInt(1_000_000);
        marks.put(ms(now), session, ms(commit));
        long from = now;
        plain.merge(
            session,
            new Plain(commit, now),
            (a, b) ->
                new Plain(
                    from - a.putAt <= kept ? Math.max(a.commit, b.commit) : b.commit, b.putAt));
      }
      Duration got = marks.get(ms(now), session);
      Plain due = plain.get(session);
      long age = due == null ? Long.MAX_VALUE : now - due.putAt;
      assertTrue(got == null || age <= kept + kept / 32 + 1, "kept for " + age + " of " + kept);
      assertTrue(got != null || age > kept || sessions > most, "gone after " + age + " of " + kept);
      if (got != null && age < kept / 2) {
        assertTrue(
            got.toMillis() >= due.commit || sessions > most, got + " is less than " + due.commit);
      }
      assertTrue(marks.size() <= most);
    }
    int[] seen = {0};
    marks.forEach(ms(now), (session, commit) -> seen[0]++);
    assertEquals(marks.size(), seen[0]);
    marks.forEach(ms(now + 2 * kept), (session, commit) -> seen[0]++);
    assertEquals(0, marks.size());
  }

  @Test
  void whenFullTheOneThatWouldExpireFirstGoes() {
    SessionMarks marks = new SessionMarks(3, ms(64_000));
    for (int k = 0; k < 4; k++) {
      marks.put(ms(2000L * k), k, ms(k));
    }
    assertNull(marks.get(ms(8000), 0));
    for (int k = 1; k < 4; k++) {
      assertEquals(ms(k), marks.get(ms(8000), k));
    }
  }

  @Test
  void aCommitNeverGoesBack() {
    SessionMarks marks = new SessionMarks(3, ms(1000));
    marks.put(ms(0), 5, ms(700));
    marks.put(ms(1), 5, ms(600));
    assertEquals(ms(700), marks.get(ms(2), 5));
  }

  @Test
  void needsRoomAndTime() {
    assertThrows(IllegalArgumentException.class, () -> new SessionMarks(0, ms(1)));
    assertThrows(IllegalArgumentException.class, () -> new SessionMarks(1, Duration.ZERO));
  }
}
