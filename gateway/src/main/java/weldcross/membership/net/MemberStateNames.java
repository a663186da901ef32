package weldcross.membership.net;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import weldcross.membership.MemberState;

/**
 * The external names of member states: in membership messages, in the JSON of the control endpoint
 * and in the output of {@code weldcross cluster}. They are part of the protocol and must not change
 * when constants of {@link MemberState} are renamed.
 */
public final class MemberStateNames {

  private static final Map<MemberState, String> NAMES =
      Map.of(
          MemberState.UNKNOWN, "UNHEARD",
          MemberState.ALIVE, "HERE",
          MemberState.SUSPECT, "SUSPECT",
          MemberState.UNREACHABLE, "SILENT",
          MemberState.DEAD, "GONE");

  /** The states that a membership message may contain. */
  private static final Map<String, MemberState> STATES =
      NAMES.entrySet().stream()
          .filter(entry -> entry.getKey() != MemberState.UNKNOWN)
          .collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

  private MemberStateNames() {}

  /** Returns the external name of a state. */
  public static String nameOf(MemberState state) {
    return NAMES.get(state);
  }

  /**
   * Returns the state with an external name. Empty for names that a message may not contain: those
   * of later versions, and that of {@link MemberState#UNKNOWN}, which is never sent.
   */
  public static Optional<MemberState> stateOf(String name) {
    return Optional.ofNullable(STATES.get(name));
  }
}
