package weldcross.control;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.Member;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.net.ConsensusExtension;
import weldcross.membership.FailureDetector;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.net.MemberStateNames;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;

/**
 * The status of the cluster as this gateway knows it: for each gateway the connection, the state
 * detected and the membership agreed on, side by side. The keys of the JSON are part of the control
 * endpoint's interface.
 */
final class ClusterStatus {

  /** The state that the JSON gives for the gateway that is asked. */
  private static final String SELF_STATE = "SELF";

  /** In place of a duration that is not known. */
  private static final long UNKNOWN_MILLIS = -1;

  private final MeshExtension mesh;
  private final MembershipExtension membership;
  private final ConsensusExtension consensus;
  private final ConsensusConfig config;

  ClusterStatus(
      MeshExtension mesh,
      MembershipExtension membership,
      ConsensusExtension consensus,
      ConsensusConfig config) {
    this.mesh = mesh;
    this.membership = membership;
    this.consensus = consensus;
    this.config = config;
  }

  /** The status as a JSON object; called on the gateway's thread. */
  String toJson(Duration now) {
    return ControlJson.object(json -> write(json, now));
  }

  private void write(JsonGenerator json, Duration now) throws IOException {
    MembershipViewClient agreed = consensus.service().viewClient();
    MembershipView view = agreed.view();
    json.writeStringField("self", config.self().name());
    json.writeStringField("group", config.group());
    json.writeNumberField("view", view.number());
    json.writeStringField("phase", agreed.phase().name());
    json.writeStringField("leader", agreed.leader().map(PeerName::name).orElse(""));
    json.writeNumberField("leader_age_ms", millis(agreed.leaderAge(now)));
    json.writeNumberField("share", agreed.share());
    json.writeStringField("voter", voterPhase());
    json.writeStringField("disk", mesh.diskFailure().orElse(""));
    json.writeArrayFieldStart("gateways");
    for (PeerName name : names(view)) {
      writeGateway(json, name, Optional.ofNullable(view.members().get(name)), now);
    }
    json.writeEndArray();
  }

  /** The phase of this gateway's voter; empty where it has none. */
  private String voterPhase() {
    return consensus.service().voter().map(voter -> voter.phase().name()).orElse("");
  }

  /** All gateways that are configured, detected or agreed on, by name. */
  private SortedSet<PeerName> names(MembershipView view) {
    SortedSet<PeerName> names = new TreeSet<>(view.members().keySet());
    membership.failureDetector().members().forEach(update -> names.add(update.member()));
    names.addAll(mesh.connections().peers());
    names.add(config.self());
    return names;
  }

  private void writeGateway(
      JsonGenerator json, PeerName name, Optional<Member> member, Duration now) throws IOException {
    FailureDetector detector = membership.failureDetector();
    PeerConnectionManager connections = mesh.connections();
    boolean self = name.equals(config.self());
    Optional<MembershipUpdate> known = self ? detector.self() : detector.find(name);
    Optional<Duration> heardAt = self ? Optional.empty() : connections.lastHeardAt(name);
    json.writeStartObject();
    json.writeStringField("name", name.name());
    json.writeStringField(
        "seen", self ? SELF_STATE : MemberStateNames.nameOf(detector.stateOf(name)));
    json.writeNumberField("life", known.map(MembershipUpdate::incarnation).orElse(0L));
    json.writeNumberField("agreed", member.map(Member::incarnation).orElse(0L));
    json.writeStringField(
        "zone", member.map(Member::zone).or(() -> known.map(MembershipUpdate::zone)).orElse(""));
    json.writeNumberField(
        "part",
        member.map(Member::weight).or(() -> known.map(MembershipUpdate::trafficWeight)).orElse(0));
    json.writeNumberField("heard_ms", millis(heardAt.map(now::minus)));
    json.writeStringField("link", self ? "" : connections.isUp(name) ? "up" : "down");
    json.writeBooleanField("votes", config.voters().contains(name));
    json.writeEndObject();
  }

  private static long millis(Optional<Duration> duration) {
    return duration.map(Duration::toMillis).orElse(UNKNOWN_MILLIS);
  }
}
