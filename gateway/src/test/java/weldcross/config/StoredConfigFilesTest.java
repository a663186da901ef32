package weldcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerName;
import weldcross.routing.RequestClass;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RoutingConfig;
import weldcross.routing.ZoneId;

/** Checks that configuration files written for the build of commit e72908e are still read. */
class StoredConfigFilesTest {

  private GatewayConfig gateway;

  @BeforeEach
  void readGatewayFile() throws URISyntaxException {
    gateway = GatewayConfig.read(fixture("gateway-e72908e.json"));
  }

  @Test
  void gatewayFileGivesAddressesAndLimits() {
    assertEquals("n0", gateway.name());
    assertEquals(loopback(6543), gateway.listenAddress());
    assertEquals(loopback(8500), gateway.discoveryAddress());
    assertEquals(0x8c1f30d27a5be964L, gateway.seed());
    assertEquals(1024, gateway.maxDescriptors());
    assertEquals(List.of("entry-read", "entry-write"), gateway.requestClassNames());
    assertEquals(List.of("acme"), gateway.tenants());
    assertEquals(List.of("a"), gateway.zones());
    assertNull(gateway.gossipListenAddress());
    assertNull(gateway.gossipTargetAddress());
    assertEquals(Duration.ofSeconds(30), gateway.serverIdleTimeout());
    assertEquals(Duration.ofMillis(250), gateway.connectTimeout());
    assertEquals(Duration.ofSeconds(2), gateway.drainGracePeriod());
    assertTrue(gateway.healthCheckReportsLoad());
    assertEquals(0, gateway.lastKnownEndpoints().count("members"));
    assertTrue(gateway.lastKnownEndpoints().flag("complete", false));
  }

  @Test
  void gatewayFileGivesRequestClasses() {
    RequestClass read =
        new RequestClass(
            Consistency.SESSION,
            Duration.ZERO,
            Idempotency.IDEMPOTENT,
            DeduplicationScope.GROUP,
            Duration.ZERO,
            Duration.ofMillis(300),
            1,
            0.2);
    RequestClass write =
        new RequestClass(
            Consistency.WRITE,
            Duration.ZERO,
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.GROUP,
            Duration.ZERO,
            Duration.ofMillis(600),
            3,
            0.5);
    assertEquals(List.of(read, write), gateway.routing().requestClasses());
  }

  @Test
  void gatewayFileGivesRouting() {
    assertEquals(
        new RoutingConfig(
            gateway.routing().requestClasses(),
            1,
            new ZoneId(0),
            true,
            10,
            true,
            true,
            false,
            Duration.ofMillis(500),
            false,
            Duration.ofSeconds(10),
            true,
            false,
            0.3,
            Duration.ofSeconds(17),
            2,
            Duration.ofSeconds(1)),
        gateway.routing());
  }

  @Test
  void extensionsFileGivesOnlyTheMesh() throws URISyntaxException {
    ExtensionsConfig extensions =
        ExtensionsConfig.read(fixture("extensions-e72908e.toml"), gateway);
    PeerName peer = new PeerName("n1");
    ExtensionsConfig.Mesh mesh = extensions.mesh().orElseThrow();
    assertEquals(Path.of("var/n0"), extensions.directory());
    assertEquals(
        new MeshConfig(
            "registr",
            new PeerName("n0"),
            List.of(peer),
            Duration.ofMillis(250),
            Duration.ofMillis(1500),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(5),
            4096,
            4096 << 10),
        mesh.config());
    PeerAddresses addresses = mesh.addresses();
    InetSocketAddress ownAddress = loopback(7000);
    InetSocketAddress peerAddress = loopback(7001);
    assertEquals(ownAddress, addresses.listenAddress());
    assertEquals(Optional.of(ownAddress), addresses.datagramListenAddress());
    assertEquals(peerAddress, addresses.connectAddresses().get(peer));
    assertEquals(peerAddress, addresses.datagramAddresses().get(peer));
    assertFalse(extensions.failureDetector().isPresent());
    assertEquals(Optional.empty(), extensions.consensus());
    assertEquals(Optional.empty(), extensions.controlAddress());
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static String fixture(String name) throws URISyntaxException {
    return Path.of(StoredConfigFilesTest.class.getResource(name).toURI()).toString();
  }
}
