package weldcross.chaos.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * A fault that a scenario injects. Component names in stored runs are those of scenario files.
 *
 * @param at when it is injected, since the start of the load
 * @param duration from injection to healing; zero for an instantaneous fault
 * @param kind the kind of fault
 * @param host the affected gateway or server, or the first of two hosts
 * @param peer the second of two hosts; empty if there is none, {@code *} for all other hosts
 * @param details parameter of the kind: the age of the stored records, the disk faults, the sides
 *     of a network partition, milliseconds, or a loss ratio
 */
public record Fault(
    Duration at,
    @JsonProperty("lasting") Duration duration,
    Kind kind,
    @JsonProperty("on") String host,
    @JsonProperty("to") String peer,
    @JsonProperty("how") String details) {

  /** The kinds of faults. */
  public enum Kind {
    /**
     * A gateway is killed and restarted; {@code details} selects its stored records: {@code old}
     * (unchanged), {@code empty} or {@code earlier} (a previous copy).
     */
    KILL(false, true),
    /** A gateway receives SIGTERM and is restarted. */
    TERM(false, true),
    /** A gateway is suspended by SIGSTOP, which the process cannot observe. */
    PAUSE(false, true),
    /** A gateway is killed and restarted with its wall clock off by {@code details} ms. */
    CLOCK(false, true),
    /** A gateway's disk has the faults listed in {@code details}. */
    DISK(false, true),
    /** Traffic between two hosts is held back in both directions. */
    STALL(true, false),
    /** Traffic from {@code host} to {@code peer} is held back. */
    STALL_ONE_WAY(true, false),
    /** Traffic between two hosts is dropped, and connection attempts time out. */
    CUT(true, false),
    /** Traffic from {@code host} to {@code peer} is dropped. */
    CUT_ONE_WAY(true, false),
    /** Open connections between two hosts are reset once. */
    RESET(true, false),
    /** Connections from one host to another are refused. */
    REFUSE(true, false),
    /** Traffic between two hosts is delayed by {@code details} ms. */
    DELAY(true, false),
    /**
     * Datagrams between two hosts are lost, duplicated and reordered, and so are chunks of streams;
     * {@code details} is the loss ratio.
     */
    LOSS(true, false),
    /**
     * Network partition between gateways: {@code details} lists its sides as {@code n0,n1|n2,n3}; a
     * gateway on no side reaches all others.
     */
    SPLIT(false, false),
    /** A server is killed and restarted. */
    SERVER_KILL(false, false),
    /** The data of a server lag by {@code details} ms. */
    LAG(false, false),
    /** A server does not process statements. */
    SERVER_STALL(false, false),
    /** A server applies writes, but its answers to them are lost. */
    ANSWERS_LOST(false, false);

    private final boolean onNetworkPath;
    private final boolean onGateway;

    Kind(boolean onNetworkPath, boolean onGateway) {
      this.onNetworkPath = onNetworkPath;
      this.onGateway = onGateway;
    }

    /**
     * Returns whether the fault affects the network path between two hosts.
     *
     * @return true for network faults
     */
    public boolean isOnNetworkPath() {
      return onNetworkPath;
    }

    /**
     * Returns whether the fault affects a single gateway.
     *
     * @return true for faults of a gateway process or its disk
     */
    public boolean isOnGateway() {
      return onGateway;
    }

    /**
     * Returns the name of the kind in scenario files.
     *
     * @return in lower case, with hyphens
     */
    public String configName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /**
   * Returns when the fault is healed.
   *
   * @return time since the start of the load
   */
  public Duration healedAt() {
    return at.plus(duration);
  }

  /**
   * Formats the fault for a scenario file.
   *
   * @return the lines of a {@code [[fault]]} table
   */
  public List<String> toml() {
    return List.of(
        "[[fault]]",
        "at_ms = " + at.toMillis(),
        "for_ms = " + duration.toMillis(),
        "kind = \"" + kind.configName() + "\"",
        "on = \"" + host + "\"",
        "to = \"" + peer + "\"",
        "how = \"" + details + "\"");
  }

  /**
   * Describes the fault in a report.
   *
   * @return kind, hosts and details in one line
   */
  public String describe() {
    return kind.configName()
        + (host.isEmpty() ? "" : " " + host)
        + (peer.isEmpty() ? "" : " " + peer)
        + (details.isEmpty() ? "" : " (" + details + ")");
  }
}
