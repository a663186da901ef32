package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HandshakeValidatorTest {

  private static final PeerName SELF = new PeerName("self");
  private static final PeerName SENDER = new PeerName("sender");

  private final HandshakeValidator validator =
      new HandshakeValidator(MeshSimulation.config(SELF, List.of(SENDER)));

  /** The sender is known with incarnation 5 and nonce 9. */
  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        "c, sender, self, 5, 9, 1, -",
        "c, sender, self, 6, 1, 1, -",
        "d, sender, self, 5, 9, 1, DIFFERENT_CLUSTER",
        "c, other, self, 5, 9, 1, UNKNOWN_PEER",
        "c, sender, other, 5, 9, 1, WRONG_RECEIVER",
        "c, sender, self, 5, 9, 0, UNSUPPORTED_VERSION",
        "c, sender, self, 5, 9, 2, UNSUPPORTED_VERSION",
        "c, sender, self, 4, 9, 1, STALE_INCARNATION",
        "c, sender, self, 5, 8, 1, STALE_INCARNATION"
      })
  void handshakeIsRejectedForTheFirstInvalidField(
      String cluster,
      String from,
      String to,
      long number,
      long nonce,
      int version,
      HandshakeRejection expected) {
    Peer peer = new Peer(SENDER);
    peer.setIncarnation(new Incarnation(5, 9));
    PeerName sender = new PeerName(from);
    Optional<Peer> known = sender.equals(SENDER) ? Optional.of(peer) : Optional.empty();
    HandshakeRequest request =
        new HandshakeRequest(
            cluster, sender, new PeerName(to), new Incarnation(number, nonce), version);
    assertEquals(Optional.ofNullable(expected), validator.validate(request, known));
  }
}
