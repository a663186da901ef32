package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.List;

/**
 * A fault that a scenario has act.
 *
 * @param at since the load began
 * @param lasting until it is healed; zero for what happens in an instant
 * @param kind what goes wrong
 * @param on a gateway, a server, or the first of two hosts
 * @param to the second of two hosts; empty where there is none, {@code *} for all others
 * @param how details of the kind: the age of records, faults of a disk, sides of a split
 */
public record Fault(Duration at, Duration lasting, Kind kind, String on, String to, String how) {

  /** The kinds of faults. */
  public enum Kind {
    /**
     * A gateway is killed and started again, with its directory {@code old}, {@code empty} or
     * {@code earlier}.
     */
    KILL(false, true),
    /** A gateway gets SIGTERM and is started again. */
    TERM(false, true),
    /** A gateway is stopped by SIGSTOP, which it does not notice. */
    PAUSE(false, true),
    /**
     * A gateway is killed and started with a wall clock that is off by {@code how} milliseconds.
     */
    CLOCK(false, true),
    /** A gateway's disk has the faults named in {@code how}. */
    DISK(false, true),
    /** What is sent between two hosts waits, in both directions. */
    STALL(true, false),
    /** The same in one direction. */
    STALL_ONE_WAY(true, false),
    /** What is sent between two hosts vanishes, and connections never come up. */
    CUT(true, false),
    /** The same in one direction. */
    CUT_ONE_WAY(true, false),
    /** Connections between two hosts are reset, at once. */
    RESET(true, false),
    /** Connections from one host to another are refused. */
    REFUSE(true, false),
    /** What is sent between two hosts comes late, by {@code how} milliseconds. */
    DELAY(true, false),
    /**
     * Datagrams between two hosts, and pieces of streams, are lost, repeated and overtaken; share
     * in {@code how}.
     */
    LOSS(true, false),
    /**
     * Gateways are cut off from each other: sides in {@code how} as {@code n0,n1|n2,n3}; a gateway
     * on no side reaches all.
     */
    SPLIT(false, false),
    /** A server's process dies and starts again. */
    SERVER_KILL(false, false),
    /** A server is behind by {@code how} milliseconds. */
    LAG(false, false),
    /** Statements at a server wait. */
    SERVER_STALL(false, false),
    /** A server's answers to writes get lost after their effect. */
    ANSWERS_LOST(false, false);

    private final boolean between;
    private final boolean onGateway;

    Kind(boolean between, boolean onGateway) {
      this.between = between;
      this.onGateway = onGateway;
    }

    /**
     * Returns whether it acts on the network between two hosts.
     *
     * @return true for faults of a path
     */
    public boolean isBetween() {
      return between;
    }

    /**
     * Returns whether it acts on one gateway.
     *
     * @return true for faults of a process or its disk
     */
    public boolean isOnGateway() {
      return onGateway;
    }

    /**
     * Returns its name in scenario files.
     *
     * @return in lower case, with hyphens
     */
    public String word() {
      return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * Returns when it is healed.
   *
   * @return time since the load began
   */
  public Duration until() {
    return at.plus(lasting);
  }

  /**
   * Writes it as scenario files have it.
   *
   * @return the lines of a {@code [[fault]]} table
   */
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

  /**
   * Describes it for a reader.
   *
   * @return its kind, hosts and details in one line
   */
  public String describe() {
    return kind.word()
        + (on.isEmpty() ? "" : " " + on)
        + (to.isEmpty() ? "" : " " + to)
        + (how.isEmpty() ? "" : " (" + how + ")");
  }
}
