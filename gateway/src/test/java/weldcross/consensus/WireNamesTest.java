package weldcross.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The words of messages and stored records, which never change. */
class WireNamesTest {

  @ParameterizedTest
  @CsvSource({"JOIN, JOIN", "LEAVE, LEAVE", "DEAD, GONE", "FORGET, FORGET", "NO_OP, NOTHING"})
  void kindOfProposalHasItsWord(Proposal.Kind kind, String word) {
    assertEquals(word, kind.wireName());
    assertEquals(Optional.of(kind), Proposal.Kind.fromWireName(word));
  }

  @ParameterizedTest
  @CsvSource({
    "APPLIED, DONE",
    "UNCHANGED, SAME",
    "INCARNATION_ENDED, ENDED",
    "STALE_VIEW, CHANGED",
    "UNKNOWN_MEMBER, UNKNOWN"
  })
  void resultOfProposalHasItsWord(ProposalResult result, String word) {
    assertEquals(word, result.wireName());
    assertEquals(Optional.of(result), ProposalResult.fromWireName(word));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "done", "LATER"})
  void unknownWordHasNoKindAndNoResult(String word) {
    assertEquals(Optional.empty(), Proposal.Kind.fromWireName(word));
    assertEquals(Optional.empty(), ProposalResult.fromWireName(word));
  }

  @Test
  void everyConstantHasAWordOfItsOwn() {
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
