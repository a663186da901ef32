package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the names in messages and stored records, which must never change. */
class WireNamesTest {

  @ParameterizedTest
  @CsvSource({"JOIN, JOIN", "LEAVE, LEAVE", "DEAD, GONE", "FORGET, FORGET", "NO_OP, NOTHING"})
  void proposalKindHasStableWireName(Proposal.Kind kind, String wireName) {
    assertEquals(wireName, kind.wireName());
    assertEquals(Optional.of(kind), Proposal.Kind.fromWireName(wireName));
  }

  @ParameterizedTest
  @CsvSource({
    "APPLIED, DONE",
    "UNCHANGED, SAME",
    "INCARNATION_ENDED, ENDED",
    "STALE_VIEW, CHANGED",
    "UNKNOWN_MEMBER, UNKNOWN"
  })
  void proposalResultHasStableWireName(ProposalResult result, String wireName) {
    assertEquals(wireName, result.wireName());
    assertEquals(Optional.of(result), ProposalResult.fromWireName(wireName));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "done", "LATER"})
  void unknownWireNameHasNoKindAndNoResult(String wireName) {
    assertEquals(Optional.empty(), Proposal.Kind.fromWireName(wireName));
    assertEquals(Optional.empty(), ProposalResult.fromWireName(wireName));
  }

  @Test
  void everyConstantHasUniqueWireName() {
    Set<Proposal.Kind> kinds = EnumSet.noneOf(Proposal.Kind.class);
    for (Proposal.Kind kind : Proposal.Kind.values()) {
      Proposal.Kind.fromWireName(kind.wireName()).ifPresent(kinds::add);
    }
    assertEquals(EnumSet.allOf(Proposal.Kind.class), kinds);
    Set<ProposalResult> results = EnumSet.noneOf(ProposalResult.class);
    for (ProposalResult result : ProposalResult.values()) {
      ProposalResult.fromWireName(result.wireName()).ifPresent(results::add);
    }
    assertEquals(EnumSet.allOf(ProposalResult.class), results);
  }
}
