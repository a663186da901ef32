package weldcross.benchmarks;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import weldcross.shared.SessionMarks;

/**
 * {@link SessionMarks} beside a linked hash map in the order of its last puts, on the same writes
 * and reads.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
    value = 1,
    jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"})
public class SessionMarksBenchmark {

  private static final Duration KEPT = Duration.ofSeconds(60);

  /** Sessions alive at a time; the same number again comes and goes. */
  @Param({"1000", "20000"})
  int sessions;

  private final SplittableRandom dice = new SplittableRandom(7);
  private final LinkedHashMap<Long, Duration[]> plain = new LinkedHashMap<>();
  private SessionMarks marks;
  private Duration now = Duration.ZERO;
  private Duration step;

  @Setup
  public void fill() {
    marks = new SessionMarks(2 * sessions, KEPT);
    step = KEPT.dividedBy(sessions);
    for (int k = 0; k < 2 * sessions; k++) {
      now = now.plus(step);
      putPlain(dice.nextInt(2 * sessions));
      marks.put(now, dice.nextInt(2 * sessions), now);
    }
  }

  @Benchmark
  public Object marks() {
    now = now.plus(step);
    marks.put(now, dice.nextInt(2 * sessions), now);
    return marks.get(now, dice.nextInt(2 * sessions));
  }

  @Benchmark
  public Object linkedHashMap() {
    now = now.plus(step);
    putPlain(dice.nextInt(2 * sessions));
    Duration[] found = plain.get((long) dice.nextInt(2 * sessions));
    return found == null ? null : found[0];
  }

  private void putPlain(long session) {
    Duration[] before = plain.remove(session);
    plain.put(
        session,
        new Duration[] {before == null || now.compareTo(before[0]) > 0 ? now : before[0], now});
    Iterator<Map.Entry<Long, Duration[]>> oldest = plain.entrySet().iterator();
    while (oldest.hasNext() && now.minus(oldest.next().getValue()[1]).compareTo(KEPT) > 0) {
      oldest.remove();
    }
  }
}
