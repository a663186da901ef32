package weldcross.membership.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import weldcross.membership.MemberState;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.wire.MemberUpdate;
import weldcross.mesh.PeerName;

class MembershipUpdateCodecTest {

  private static MembershipUpdate update(MemberState state) {
    return new MembershipUpdate(new PeerName("n1"), 7, 3, state, "a", 200, new PeerName("n2"));
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "UNKNOWN")
  void updateOfAnyStateRoundTrips(MemberState state) {
    List<MembershipUpdate> updates = List.of(update(state));
    assertEquals(
        updates, MembershipUpdateCodec.decodeAll(MembershipUpdateCodec.encodeAll(updates)));
  }

  @Test
  void updateWithAnUnrecognizedStateIsSkipped() {
    MembershipUpdate known = update(MemberState.ALIVE);
    List<MemberUpdate> encoded =
        new ArrayList<>(MembershipUpdateCodec.encodeAll(List.of(known, known)));
    encoded.set(0, encoded.get(0).toBuilder().setState("LEFT").build());
    assertEquals(List.of(known), MembershipUpdateCodec.decodeAll(encoded));
  }
}
