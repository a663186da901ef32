package weldcross.shared;

import java.time.Duration;
import java.util.Arrays;

/**
 * The latest write of each session that this gateway has carried, for as long as it may matter: at
 * most so many, each for one span after it was last put. Made for many short lives: a slab of rows
 * without an object each, chains from a hash into the slab, and a wheel of expiry whose slots are
 * lists through the same rows, so that putting, finding and expiring cost the same however many
 * there are. {@link Knowledge} fills it and reads it when a store that was away is back and may
 * know nothing.
 *
 * <p>Sessions are known by a hash of 64 bits; two that share one are taken for one session, which
 * can only make a read wait for a write that is not its own. Not safe for several threads.
 */
public final class SessionMarks {

  /** Takes what is kept, one by one. */
  @FunctionalInterface
  public interface Sink {
    void mark(long session, Duration commit);
  }

  private static final int NONE = -1;

  /** The wheel turns once in a span; a mark lives a sixty-fourth longer at most. */
  private static final int SLOTS = 64;

  private final long slotNanos;
  private final int[] buckets;
  private final int[] wheel = new int[SLOTS];
  private final long[] sessions;
  private final long[] commits;
  private final int[] next, after, before, slots;
  private int free;
  private int used;

  /** The slot of the last call, counted from zero time. */
  private long turned;

  /**
   * @param most marks at a time; with more, the one that would expire first goes. At least 1.
   * @param kept how long a mark is kept after it was put; more than zero
   */
  public SessionMarks(int most, Duration kept) {
    if (most < 1 || kept.isNegative() || kept.isZero()) {
      throw new IllegalArgumentException("marks " + most + " for " + kept);
    }
    this.slotNanos = Math.max(1, kept.toNanos() / (SLOTS - 1));
    this.buckets = new int[Integer.highestOneBit(Math.max(8, most)) * 2];
    this.sessions = new long[most];
    this.commits = new long[most];
    this.next = new int[most];
    this.after = new int[most];
    this.before = new int[most];
    this.slots = new int[most];
    Arrays.fill(buckets, NONE);
    Arrays.fill(wheel, NONE);
    for (int k = 0; k < most; k++) {
      next[k] = k + 1 < most ? k + 1 : NONE;
    }
  }

  /** Keeps the later of what is known and this commit, from now on for the whole span. */
  public void put(Duration now, long session, Duration commit) {
    expire(now);
    int row = row(session);
    if (row == NONE) {
      if (free == NONE) {
        evict();
      }
      row = free;
      free = next[row];
      used++;
      sessions[row] = session;
      commits[row] = commit.toNanos();
      int bucket = bucket(session);
      next[row] = buckets[bucket];
      buckets[bucket] = row;
    } else {
      commits[row] = Math.max(commits[row], commit.toNanos());
      unhook(row);
    }
    hook(row, (int) ((turned + SLOTS - 1) % SLOTS));
  }

  /** Null where none is kept. */
  public Duration get(Duration now, long session) {
    expire(now);
    int row = row(session);
    return row == NONE ? null : Duration.ofNanos(commits[row]);
  }

  public int size() {
    return used;
  }

  /** All that are kept, those that expire last first: they matter most. */
  public void forEach(Duration now, Sink sink) {
    expire(now);
    for (int k = 0; k < SLOTS; k++) {
      int slot = (int) ((turned + SLOTS - 1 - k) % SLOTS);
      for (int row = wheel[slot]; row != NONE; row = after[row]) {
        sink.mark(sessions[row], Duration.ofNanos(commits[row]));
      }
    }
  }

  private void expire(Duration now) {
    long until = now.toNanos() / slotNanos;
    for (long steps = Math.min(SLOTS, until - turned); steps > 0; steps--) {
      clear((int) (turned % SLOTS));
      turned++;
    }
    turned = Math.max(turned, until);
  }

  private void clear(int slot) {
    while (wheel[slot] != NONE) {
      remove(wheel[slot]);
    }
  }

  private void evict() {
    for (int k = 0; k < SLOTS; k++) {
      int slot = (int) ((turned + k) % SLOTS);
      if (wheel[slot] != NONE) {
        remove(wheel[slot]);
        return;
      }
    }
  }

  private void remove(int row) {
    unhook(row);
    int bucket = bucket(sessions[row]);
    if (buckets[bucket] == row) {
      buckets[bucket] = next[row];
    } else {
      int at = buckets[bucket];
      while (next[at] != row) {
        at = next[at];
      }
      next[at] = next[row];
    }
    next[row] = free;
    free = row;
    used--;
  }

  private int row(long session) {
    int row = buckets[bucket(session)];
    while (row != NONE && sessions[row] != session) {
      row = next[row];
    }
    return row;
  }

  private int bucket(long session) {
    long mixed = session * 0x9E3779B97F4A7C15L;
    return (int) (mixed >>> 32) & buckets.length - 1;
  }

  private void hook(int row, int slot) {
    slots[row] = slot;
    before[row] = NONE;
    after[row] = wheel[slot];
    if (wheel[slot] != NONE) {
      before[wheel[slot]] = row;
    }
    wheel[slot] = row;
  }

  private void unhook(int row) {
    if (before[row] == NONE) {
      wheel[slots[row]] = after[row];
    } else {
      after[before[row]] = after[row];
    }
    if (after[row] != NONE) {
      before[after[row]] = before[row];
    }
  }
}
