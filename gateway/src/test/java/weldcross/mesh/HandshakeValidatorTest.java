package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HandshakeValidatorTest {

  private static final PeerName SELF = new PeerName("self");
  private static final PeerName CALLER = new PeerName("caller");

  private final HandshakeValidator validator =
      new HandshakeValidator(MeshSimulation.config(SELF, List.of(CALLER)));

  /** The caller is known under incarnation 5 with nonce 9. */
  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        "c, caller, self, 5, 9, 1, -",
        "c, caller, self, 6, 1, 1, -",
        "d, caller, self, 5, 9, 1, DIFFERENT_CLUSTER",
        "c, other, self, 5, 9, 1, UNKNOWN_PEER",
        "c, caller, other, 5, 9, 1, WRONG_RECEIVER",
        "c, caller, self, 5, 9, 0, UNSUPPORTED_VERSION",
        "c, caller, self, 5, 9, 2, UNSUPPORTED_VERSION",
        "c, caller, self, 4, 9, 1, STALE_INCARNATION",
        "c, caller, self, 5, 8, 1, STALE_INCARNATION"
      })
  void handshakeIsRejectedForTheFirstThingThatIsWrong(
      String cluster,
      String from,
      String to,
      long number,
      long nonce,
      int version,
      HandshakeRejection expected) {
    Peer caller = new Peer(CALLER);
    caller.setIncarnation(new Incarnation(5, 9));
    PeerName sender = new PeerName(from);
    Optional<Peer> known = sender.equals(CALLER) ? Optional.of(caller) : Optional.empty();
    HandshakeRequest request =
        new HandshakeRequest(
            cluster, sender, new PeerName(to), new Incarnation(number, nonce), version);
    assertEquals(Optional.ofNullable(expected), validator.validate(request, known));
  }
}
