package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.discovery.EndpointListLease;
import weldcross.routing.EndpointStatus;

/**
 * The reducer's talk with discovery: the list as last had, the whole list, then one watch after the
 * other. Where discovery moves, the new address is asked for the whole list while the old one is
 * still heard; the old talk ends with the new one's first list, or by itself.
 */
final class DiscoveryWatcher {

  private static final Logger LOG = Logger.getLogger(DiscoveryWatcher.class.getName());

  /**
   * The least that a call may wait for news, as none at all may mean no wait or one that was not
   * told.
   */
  private static final Duration AT_ONCE = Duration.ofMillis(1);

  private final Gateway gateway;
  private final Transport transport;
  private final GatewayConfig terms;

  /** How long a watch waits, how long an answer may take beyond what it waits for, and a dial. */
  private final Duration watch, patience, grace;

  private final EndpointListLease term;

  /**
   * Whether discovery is one service for all gateways: what they know already is not asked for
   * again.
   */
  private final boolean onRequest;

  private final SplittableRandom random;
  private boolean stands;
  private long revision = -1;
  private boolean failing;

  /**
   * When it is looked at next whether the list stands; null where it does not. One look is due at a
   * time.
   */
  private Duration looksAt;

  /**
   * The talk that the list comes from, and the one that is to take over; null where there is none.
   */
  private Talk current, next;

  DiscoveryWatcher(Gateway gateway, Transport transport, GatewayConfig terms) {
    this.gateway = gateway;
    this.transport = transport;
    this.terms = terms;
    this.grace = terms.connectTimeout().multipliedBy(4);
    this.onRequest = terms.routing().pollEndpointList();
    this.watch = EndpointListLease.watchTimeout(terms.routing().maxPollInterval(), onRequest);
    this.patience = EndpointListLease.answerTimeout(grace, onRequest);
    this.term = new EndpointListLease(terms.drainGracePeriod(), onRequest);
    this.random = new SplittableRandom(~terms.seed());
  }

  /**
   * Whether the list holds all that binds: not before discovery's first word, nor when it was
   * silent for long.
   */
  boolean isListValid() {
    return stands;
  }

  /** Tells when that changes, and looks again when it may. */
  private void judgeTerm() {
    boolean before = stands;
    stands = term.isValid(gateway.now());
    if (before && !stands) {
      LOG.warning(
          "discovery has been silent for so long that drains may be owed: nothing goes to any "
              + "server until it speaks");
    }
    if (before != stands) {
      gateway.setEndpointListValid(stands);
    }
    Duration end = term.expiresAt();
    if (stands && (looksAt == null || end.compareTo(looksAt) < 0)) {
      looksAt = end;
      gateway.at(
          end,
          () -> {
            if (end.equals(looksAt)) {
              looksAt = null;
              judgeTerm();
            }
          });
    }
  }

  private void unheard(Duration since) {
    term.disconnected(since);
    judgeTerm();
  }

  void start() {
    gateway.setEndpointListValid(false);
    if (terms.lastKnownEndpoints().has("members.count")) {
      take(terms.lastKnownEndpoints());
    }
    current = new Talk(terms.discoveryAddress());
    current.dial();
  }

  /**
   * Discovery is to be asked at this address from now on; nothing changes where it is asked
   * already.
   */
  void moveTo(InetSocketAddress address) {
    if ((next != null ? next : current).address.equals(address)) {
      return;
    }
    LOG.info(() -> "discovery moves to " + address.getHostString() + ":" + address.getPort());
    if (next != null) {
      next.end();
    }
    next = current != null && current.address.equals(address) ? null : new Talk(address);
    if (next != null) {
      term.moved(gateway.now());
      next.dial();
    } else {
      term.moveCompleted();
    }
    judgeTerm();
  }

  void connected(long number) {
    Talk talk = talk(number);
    if (talk == null) {
      transport.closeNow(number);
    } else {
      talk.up = true;
      if (talk.lostAt != null && EndpointListLease.isNewWatch(gateway.now().minus(talk.lostAt))) {
        // Asked for all of it, it speaks at once.
        unheard(talk.lostAt);
        talk.missed();
      }
      talk.lostAt = null;
      talk.ask();
    }
  }

  /** All that had come in on all connections when it was asked for is read and told. */
  boolean pendingReadsDone(long number) {
    Talk talk = talk(number);
    if (talk != null) {
      talk.heard();
    }
    return talk != null;
  }

  /** Some of an answer has come, and the rest of it not yet. */
  void responseStarted(long number) {
    Talk talk = talk(number);
    if (talk != null) {
      talk.begun();
    }
  }

  void closed(long number) {
    Talk talk = talk(number);
    if (talk != null && talk.answered && talk.isLast()) {
      // It closes after an answer, as it may; what it told so far is held, so nothing is missed if
      // it
      // is soon asked again.
      talk.lostAt = gateway.now();
      talk.dial();
    } else if (talk != null) {
      talk.fail("its connection ended");
    }
  }

  void responseReceived(long number, int status, byte[] text) {
    Talk talk = talk(number);
    if (talk == null) {
      return;
    }
    if (status != 200) {
      talk.fail("it answers with status " + status);
      return;
    }
    try {
      ConfigValues told = ConfigValues.ofJson(text);
      talk.since = isBehind(talk, told) ? takeDrains(told) : take(told);
    } catch (InvalidConfigException e) {
      talk.since = -1;
      talk.fail(e.getMessage());
      return;
    }
    talk.answered = true;
    talk.failures = 0;
    if (talk == next) {
      if (current != null) {
        current.end();
      }
      current = next;
      next = null;
      term.moveCompleted();
      LOG.info("the list comes from the new address");
    }
    if (failing) {
      failing = false;
      LOG.info("the list is watched again");
    }
    term.answered(gateway.now(), talk.ask());
    judgeTerm();
  }

  /**
   * Against an address that is behind the one before it: taken back to an older list, a gateway
   * would send again to servers that it was told drain. What such an address tells is known already
   * until it has come as far. It would harm where discovery begins to count anew, so what is still
   * behind when a list must have been had counts as the newer count.
   */
  private boolean isBehind(Talk talk, ConfigValues told) {
    boolean older = told.integer("revision", Long.MAX_VALUE, 0) < revision;
    if (!older) {
      talk.behindSince = null;
      return false;
    }
    if (talk.behindSince == null) {
      talk.behindSince = gateway.now();
      LOG.info(() -> "the list there is behind the one held, which stays in force");
    }
    boolean stays =
        gateway.now().minus(talk.behindSince).compareTo(terms.routing().maxPollInterval()) < 0;
    if (!stays && !told.flag("complete", false)) {
      talk.askWhole = true;
    }
    return stays || (talk.askWhole && !told.flag("complete", false));
  }

  /**
   * Of what is behind only drains count: should it count anew, they are news; else they are known
   * or over.
   */
  private long takeDrains(ConfigValues told) {
    gateway.listed(
        false,
        DiscoveredEndpoint.read(told, terms.zones()).stream()
            .filter(m -> m.status() != EndpointStatus.ACTIVE)
            .toList());
    return told.integer("revision", -1, 0);
  }

  private Talk talk(long number) {
    return current != null && current.link == number
        ? current
        : next != null && next.link == number ? next : null;
  }

  /** Returns its revision. */
  private long take(ConfigValues told) {
    // What lacks these is no list, and taken for an empty one it would end all service.
    told.text("revision");
    told.text("complete");
    told.text("members.count");
    List<DiscoveredEndpoint> members = DiscoveredEndpoint.read(told, terms.zones());
    long said = told.integer("revision", -1, 0);
    boolean whole = told.flag("complete", false);
    if (said != revision && !(members.isEmpty() && !whole)) {
      LOG.info(
          () -> "list " + said + (whole ? " whole, " : " changed, ") + members.size() + " entries");
    }
    revision = said;
    gateway.listed(whole, members);
    return said;
  }

  /** One address, asked over one connection at a time. */
  private final class Talk {
    final InetSocketAddress address;

    /** The revision that the next watch goes on from; below zero the whole list is asked for. */
    long since = -1;

    long link, asked;

    /**
     * What was asked and is not answered, though whoever has a list answers at once; zero where
     * nothing.
     */
    long doubted;

    /** Of what was asked the last of which some of the answer has come. */
    long begun;

    boolean up, answered, askWhole;

    /** Whether what it has by now is to be told before a watch is begun: it may be silent. */
    boolean askNow;

    int failures;

    /** When its connection ended between two watches; null where it is open. */
    Duration lostAt;

    /**
     * Since when, without a break, it has told only what is older than what is held; null where it
     * has not.
     */
    Duration behindSince;

    Talk(InetSocketAddress address) {
      this.address = address;
    }

    /** Whether no other address is to take over from this one. */
    boolean isLast() {
      return this == next || next == null;
    }

    void dial() {
      up = false;
      answered = false;
      link = gateway.nextNumber();
      transport.connectToDiscovery(link, address);
      expectWithin(grace);
    }

    /** Returns how long it may wait for news. */
    Duration ask() {
      boolean first = since < 0 || askWhole;
      Duration waits = first ? Duration.ZERO : askNow ? AT_ONCE : watch;
      askWhole = false;
      askNow = false;
      String path =
          first
              ? "/catalog/members"
              : "/catalog/members?since=" + since + "&timeout_ms=" + waits.toMillis();
      String head =
          "GET "
              + path
              + " HTTP/1.1\r\nHost: "
              + address.getHostString()
              + ":"
              + address.getPort()
              + "\r\nAccept: application/json\r\n\r\n";
      transport.write(link, ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
      expectWithin(waits.plus(patience));
      if (first) {
        long expected = asked;
        gateway.at(
            gateway.now().plus(terms.connectTimeout()),
            () -> {
              if (asked == expected) {
                doubted = asked;
                transport.afterPendingReads(link);
              }
            });
      }
      return waits;
    }

    private void expectWithin(Duration time) {
      long expected = ++asked;
      gateway.at(
          gateway.now().plus(time),
          () -> {
            if (asked == expected) {
              fail(up ? "it is silent" : "it cannot be reached", up);
            }
          });
    }

    /**
     * All that had come in was read: asked for all of it, it has said nothing. It is waited for as
     * a watch is.
     */
    void heard() {
      if (doubted == asked && begun != asked && isLast() && this == current) {
        term.discoveryFoundDown(gateway.now());
        expectWithin(watch);
        judgeTerm();
      }
    }

    void begun() {
      if (begun != asked) {
        begun = asked;
        term.answerStarted(gateway.now());
        judgeTerm();
      }
    }

    /** Changes may be missed from here on: they are asked for as what answers at once. */
    void missed() {
      if (onRequest) {
        askNow = true;
      } else {
        since = -1;
      }
    }

    /** The list held stays in force; asked again soon, as a change may be lost. */
    void fail(String why) {
      fail(why, false);
    }

    private void fail(String why, boolean silent) {
      if (!failing) {
        failing = true;
        LOG.warning("discovery: " + why + "; the list held stays in force");
      }
      if (this == current || current == null) {
        unheard(lostAt != null ? lostAt : gateway.now());
      }
      lostAt = null;
      missed();
      end();
      if (isLast()) {
        long ended = asked;
        Duration rest =
            term.backoff(++failures, silent, terms.connectTimeout(), random.nextDouble());
        gateway.at(
            gateway.now().plus(rest),
            () -> {
              if (asked == ended) {
                dial();
              }
            });
      } else {
        current = null;
      }
    }

    /** Ends its connection, if there is one; nothing that was expected of it is missed. */
    void end() {
      asked++;
      // Down for a while it learns nothing: only while it speaks does being behind show that it
      // counts anew.
      behindSince = null;
      transport.closeNow(link);
      link = 0;
    }
  }
}
