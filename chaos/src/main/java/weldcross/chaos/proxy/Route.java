package weldcross.chaos.proxy;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A proxy address through which one host connects to another. */
public final class Route {

  private final String from;
  private final String to;
  private final InetSocketAddress target;

  /** Set before the route is returned to a caller; never changes afterwards. */
  private InetSocketAddress address;

  /** Accepts connections; null while the address is closed or a black hole. */
  private ServerSocketChannel listener;

  /** Listens with a full accept queue while the path is cut; null otherwise. */
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
   * Returns the address to which {@code from} connects to reach {@code to}.
   *
   * @return the proxy address, the same for the whole run
   */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns the address as text.
   *
   * @return host and port, separated by a colon
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

  /** Returns whether this route goes from one host to the other, in this direction. */
  boolean isFromTo(String fromHost, String toHost) {
    return from.equals(fromHost) && to.equals(toHost);
  }

  /** Returns whether this route is between two hosts, in either direction. */
  boolean isBetween(String host, String otherHost) {
    return isFromTo(host, otherHost) || isFromTo(otherHost, host);
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

  void setRefusing(boolean refusing) {
    this.refusing = refusing;
  }

  boolean isTargetUnreachable() {
    return targetUnreachable;
  }

  void setTargetUnreachable(boolean unreachable) {
    targetUnreachable = unreachable;
  }
}
