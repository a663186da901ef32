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
 * The status of the cluster from the point of view of this gateway: for each gateway, its
 * connection, the state that the failure detector reports and its entry in the membership view. The
 * JSON keys are part of the control endpoint's interface.
 */
final class ClusterStatus {

  /** The state reported for this gateway itself. */
  private static final String SELF_STATE = "SELF";

  /** Reported for an unknown duration. */
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

  /** Returns the status as a JSON object; must be called on the gateway's thread. */
  String toJson(Duration now) {
    return ControlJson.object(json -> write(json, now));
  }

  private void write(JsonGenerator json, Duration now) throws IOException {
    MembershipViewClient viewClient = consensus.service().viewClient();
    MembershipView view = viewClient.view();
    json.writeStringField("self", config.self().name());
    json.writeStringField("group", config.group());
    json.writeNumberField("view", view.number());
    json.writeStringField("phase", viewClient.phase().name());
    json.writeStringField("leader", viewClient.leader().map(PeerName::name).orElse(""));
    json.writeNumberField("leader_age_ms", millis(viewClient.leaderAge(now)));
    json.writeNumberField("share", viewClient.share());
    json.writeStringField("voter", voterPhase());
    json.writeStringField("disk", mesh.diskFailure().orElse(""));
    json.writeArrayFieldStart("gateways");
    for (PeerName name : allNames(view)) {
      writeGateway(json, name, Optional.ofNullable(view.members().get(name)), now);
    }
    json.writeEndArray();
  }

  /** Returns the phase of this gateway's voter; empty if it has none. */
  private String voterPhase() {
    return consensus.service().voter().map(voter -> voter.phase().name()).orElse("");
  }

  /** Returns the names of all gateways that are configured, detected or in the view. */
  private SortedSet<PeerName> allNames(MembershipView view) {
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
    boolean isSelf = name.equals(config.self());
    Optional<MembershipUpdate> known = isSelf ? detector.self() : detector.find(name);
    Optional<Duration> heardAt = isSelf ? Optional.empty() : connections.lastHeardAt(name);
    json.writeStartObject();
    json.writeStringField("name", name.name());
    json.writeStringField(
        "seen", isSelf ? SELF_STATE : MemberStateNames.nameOf(detector.stateOf(name)));
    json.writeNumberField("life", known.map(MembershipUpdate::incarnation).orElse(0L));
    json.writeNumberField("agreed", member.map(Member::incarnation).orElse(0L));
    json.writeStringField(
        "zone", member.map(Member::zone).or(() -> known.map(MembershipUpdate::zone)).orElse(""));
    json.writeNumberField(
        "part",
        member.map(Member::weight).or(() -> known.map(MembershipUpdate::trafficWeight)).orElse(0));
    json.writeNumberField("heard_ms", millis(heardAt.map(now::minus)));
    json.writeStringField("link", isSelf ? "" : connections.isUp(name) ? "up" : "down");
    json.writeBooleanField("votes", config.voters().contains(name));
    json.writeEndObject();
  }

  private static long millis(Optional<Duration> duration) {
    return duration.map(Duration::toMillis).orElse(UNKNOWN_MILLIS);
  }
}
