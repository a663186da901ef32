package weldcross.mesh.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.mesh.HandshakeRejection;

class HandshakeRejectionNamesTest {

  @ParameterizedTest
  @CsvSource({
    "DIFFERENT_CLUSTER, CLUSTER",
    "UNKNOWN_PEER, NAME",
    "WRONG_RECEIVER, NOT_ME",
    "UNSUPPORTED_VERSION, VERSION",
    "STALE_INCARNATION, OLD"
  })
  void rejectionIsMappedBothWays(HandshakeRejection rejection, String name) {
    assertEquals(name, HandshakeRejectionNames.nameOf(rejection));
    assertEquals(rejection, HandshakeRejectionNames.rejectionOf(name));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "old", "STALE_INCARNATION", "BUSY"})
  void unknownNameMapsToUnknownPeer(String name) {
    assertEquals(HandshakeRejection.UNKNOWN_PEER, HandshakeRejectionNames.rejectionOf(name));
  }
}
