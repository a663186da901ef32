package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.ServerId;

class IdleConnectionsTest {

  private static final ServerId FIRST_SERVER = new ServerId("s-0");
  private static final ServerId SECOND_SERVER = new ServerId("s-1");

  private final IdleConnections idle = new IdleConnections();
  private final ServerConnection oldest = connection(-1, FIRST_SERVER);
  private final ServerConnection middle = connection(-2, SECOND_SERVER);
  private final ServerConnection newest = connection(-3, FIRST_SERVER);

  private static ServerConnection connection(long number, ServerId server) {
    return new ServerConnection(
        number, server, new InetSocketAddress(InetAddress.getLoopbackAddress(), 6543));
  }

  private void addAll() {
    idle.add(oldest);
    idle.add(middle);
    idle.add(newest);
  }

  @Test
  void emptyPoolHasNoConnectionToAnyServer() {
    assertTrue(idle.isEmpty());
    assertNull(idle.mostRecentlyUsed(FIRST_SERVER));
    assertNull(idle.leastRecentlyUsed(FIRST_SERVER));
    assertEquals(List.of(), idle.connectionsTo(FIRST_SERVER));
  }

  @Test
  void connectionsToOneServerAreOrderedByLastUse() {
    addAll();
    assertSame(newest, idle.mostRecentlyUsed(FIRST_SERVER));
    assertSame(oldest, idle.leastRecentlyUsed(FIRST_SERVER));
    assertEquals(List.of(newest, oldest), idle.connectionsTo(FIRST_SERVER));
    assertSame(middle, idle.mostRecentlyUsed(SECOND_SERVER));
  }

  @Test
  void longestIdleConnectionIsChosenAcrossServers() {
    addAll();
    assertSame(oldest, idle.longestIdle());
    idle.remove(oldest);
    assertSame(middle, idle.longestIdle());
  }

  @Test
  void removedConnectionCanBeAddedAgain() {
    addAll();
    idle.remove(oldest);
    idle.remove(oldest);
    assertEquals(List.of(newest), idle.connectionsTo(FIRST_SERVER));
    idle.add(oldest);
    assertSame(oldest, idle.mostRecentlyUsed(FIRST_SERVER));
    for (ServerConnection connection : List.of(oldest, middle, newest)) {
      assertFalse(idle.isEmpty());
      idle.remove(connection);
    }
    assertTrue(idle.isEmpty());
    assertNull(idle.mostRecentlyUsed(FIRST_SERVER));
  }
}
