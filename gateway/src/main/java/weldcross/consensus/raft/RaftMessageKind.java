package weldcross.consensus.raft;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of messages of the Raft library, with the words for them on the wire. */
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

  /** The word for this kind on the wire; never changes. */
  String wireName() {
    return wireName;
  }

  /** The kind of a word on the wire; empty for one that this version does not know. */
  static Optional<RaftMessageKind> fromWireName(String word) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(word)).findFirst();
  }
}
