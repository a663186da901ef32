package weldcross.chaos.proxy;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** An address of the proxy through which one host reaches another by streams. */
public final class Route {

  private final String from;
  private final String to;
  private final InetSocketAddress target;

  /** Set once, before the route is handed out. */
  private InetSocketAddress address;

  /** Where connections are accepted; null while the address is closed or a black hole. */
  private ServerSocketChannel listener;

  /** Listens with a full queue while the path is cut; null otherwise. */
  private ServerSocketChannel blackHole;

  private final List<SocketChannel> blackHoleFillers = new ArrayList<>();
  private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
  private boolean refusing;
  private boolean targetUnreachable;

  Route(String from, String to, InetSocketAddress target) {
    this.from = from;
    this.to = to;
    this.target = target;
  }

  /**
   * Returns where {@code from} connects to reach {@code to}.
   *
   * @return an address of the proxy, the same for the whole run
   */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns the address as text.
   *
   * @return host and port, with a colon between
   */
  public String hostPort() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  String from() {
    return from;
  }

  String to() {
    return to;
  }

  InetSocketAddress target() {
    return target;
  }

  boolean leads(String fromHost, String toHost) {
    return from.equals(fromHost) && to.equals(toHost);
  }

  boolean connects(String host, String otherHost) {
    return leads(host, otherHost) || leads(otherHost, host);
  }

  Set<ProxiedConnection> connections() {
    return connections;
  }

  Optional<ServerSocketChannel> listener() {
    return Optional.ofNullable(listener);
  }

  void setListener(ServerSocketChannel channel) {
    listener = channel;
  }

  void setAddress(InetSocketAddress bound) {
    address = bound;
  }

  Optional<ServerSocketChannel> blackHole() {
    return Optional.ofNullable(blackHole);
  }

  void setBlackHole(ServerSocketChannel channel) {
    blackHole = channel;
  }

  List<SocketChannel> blackHoleFillers() {
    return blackHoleFillers;
  }

  boolean isRefusing() {
    return refusing;
  }

  void setRefusing(boolean on) {
    refusing = on;
  }

  boolean isTargetUnreachable() {
    return targetUnreachable;
  }

  void setTargetUnreachable(boolean on) {
    targetUnreachable = on;
  }
}
