package weldcross.consensus.raft;

import java.util.Arrays;
import java.util.Optional;

/** Message types of the Raft library, with their names on the wire. */
enum RaftMessageKind {
  APPEND_ENTRIES("append"),
  APPEND_ENTRIES_SUCCESS("appended"),
  APPEND_ENTRIES_FAILURE("not-appended"),
  INSTALL_SNAPSHOT("install"),
  INSTALL_SNAPSHOT_RESPONSE("installed"),
  PRE_VOTE("pre-vote"),
  PRE_VOTE_RESPONSE("pre-voted"),
  VOTE("vote"),
  VOTE_RESPONSE("voted"),
  TRIGGER_LEADER_ELECTION("stand");

  private final String wireName;

  RaftMessageKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the stable name of this kind on the wire. */
  String wireName() {
    return wireName;
  }

  /** Returns the kind with this name on the wire; empty if this version does not know the name. */
  static Optional<RaftMessageKind> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
