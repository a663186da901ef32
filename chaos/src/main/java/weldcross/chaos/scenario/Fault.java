package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.List;

/**
 * One thing that goes wrong.
 *
 * @param at since the load began
 * @param lasting until it is healed; zero for what happens in an instant
 * @param on a gateway, a server, or the first of two hosts
 * @param to the second of two hosts; empty where there is none, {@code *} for all others
 * @param how what the kind needs beside: a directory's age, a disk's words, sides of a split
 */
public record Fault(Duration at, Duration lasting, Kind kind, String on, String to, String how) {

  /** What can go wrong, and what has to be said of it. */
  public enum Kind {
    /**
     * A gateway is killed and started again, with its directory {@code old}, {@code empty} or
     * {@code earlier}.
     */
    KILL(false, true),
    /** A gateway is told to stop and started again. */
    TERM(false, true),
    /** A gateway stands still, and notices nothing. */
    PAUSE(false, true),
    /**
     * A gateway is killed and started with a wall clock that is off by {@code how} milliseconds.
     */
    CLOCK(false, true),
    /** A gateway's disk does what the words in {@code how} say. */
    DISK(false, true),
    /** What is sent between two hosts waits, in both directions. */
    STALL(true, false),
    /** The same in one direction. */
    STALL_ONE_WAY(true, false),
    /** What is sent between two hosts vanishes, and dials never come up. */
    CUT(true, false),
    /** The same in one direction. */
    CUT_ONE_WAY(true, false),
    /** Connections between two hosts are reset, at once. */
    RESET(true, false),
    /** Dials from one host to another are refused. */
    REFUSE(true, false),
    /** What is sent between two hosts comes late, by {@code how} milliseconds. */
    DELAY(true, false),
    /**
     * Datagrams between two hosts, and pieces of streams, are lost, repeated and overtaken; share
     * in {@code how}.
     */
    LOSS(true, false),
    /**
     * Gateways are parted: sides in {@code how} as {@code n0,n1|n2,n3}; who is on no side is
     * reached by all.
     */
    SPLIT(false, false),
    /** A server's process dies and starts again. */
    SERVER_KILL(false, false),
    /** A server is behind by {@code how} milliseconds. */
    LAG(false, false),
    /** A server works on nothing. */
    SERVER_STALL(false, false),
    /** A server's answers to writes get lost after their effect. */
    ANSWERS_LOST(false, false);
    private final boolean between, onGateway;

    Kind(boolean between, boolean onGateway) {
      this.between = between;
      this.onGateway = onGateway;
    }

    public boolean isBetween() {
      return between;
    }

    public boolean isOnGateway() {
      return onGateway;
    }

    public String word() {
      return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
  }

  public Duration until() {
    return at.plus(lasting);
  }

  /** As a scenario has it, to be played again. */
  public List<String> toml() {
    return List.of(
        "[[fault]]",
        "at_ms = " + at.toMillis(),
        "for_ms = " + lasting.toMillis(),
        "kind = \"" + kind.word() + "\"",
        "on = \"" + on + "\"",
        "to = \"" + to + "\"",
        "how = \"" + how + "\"");
  }

  public String describe() {
    return kind.word()
        + (on.isEmpty() ? "" : " " + on)
        + (to.isEmpty() ? "" : " " + to)
        + (how.isEmpty() ? "" : " (" + how + ")");
  }
}
