package weldcross.membership.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.membership.MemberState;

class MemberStateNamesTest {

  @ParameterizedTest
  @CsvSource({"ALIVE, HERE", "SUSPECT, SUSPECT", "UNREACHABLE, SILENT", "DEAD, GONE"})
  void stateNameRoundTrips(MemberState state, String name) {
    assertEquals(name, MemberStateNames.nameOf(state));
    assertEquals(Optional.of(state), MemberStateNames.stateOf(name));
  }

  @Test
  void unknownStateHasANameButIsNeverDecoded() {
    assertEquals("UNHEARD", MemberStateNames.nameOf(MemberState.UNKNOWN));
    assertEquals(Optional.empty(), MemberStateNames.stateOf("UNHEARD"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "here", "ALIVE", "DEAD", "UNREACHABLE", "LEFT"})
  void undefinedNameIsNotDecoded(String name) {
    assertEquals(Optional.empty(), MemberStateNames.stateOf(name));
  }
}
