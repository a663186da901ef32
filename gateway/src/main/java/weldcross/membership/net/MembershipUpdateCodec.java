package weldcross.membership.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.wire.MemberUpdate;
import weldcross.mesh.PeerName;

/** Converts membership updates to and from Protocol Buffers. */
final class MembershipUpdateCodec {

  private MembershipUpdateCodec() {}

  static List<MemberUpdate> encodeAll(List<MembershipUpdate> updates) {
    return updates.stream().map(MembershipUpdateCodec::encode).toList();
  }

  private static MemberUpdate encode(MembershipUpdate update) {
    return MemberUpdate.newBuilder()
        .setMember(update.member().name())
        .setIncarnation(update.incarnation())
        .setVersion(update.version())
        .setState(MemberStateNames.nameOf(update.state()))
        .setZone(update.zone())
        .setTrafficWeight(update.trafficWeight())
        .setReporter(update.reporter().name())
        .build();
  }

  /** Decodes updates, skipping those with a state that this version does not define. */
  static List<MembershipUpdate> decodeAll(List<MemberUpdate> updates) {
    List<MembershipUpdate> decoded = new ArrayList<>();
    for (MemberUpdate update : updates) {
      decode(update).ifPresent(decoded::add);
    }
    return decoded;
  }

  private static Optional<MembershipUpdate> decode(MemberUpdate update) {
    return MemberStateNames.stateOf(update.getState())
        .map(
            state ->
                new MembershipUpdate(
                    new PeerName(update.getMember()),
                    update.getIncarnation(),
                    update.getVersion(),
                    state,
                    update.getZone(),
                    update.getTrafficWeight(),
                    new PeerName(update.getReporter())));
  }
}
