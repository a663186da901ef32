package weldcross.consensus.net;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewActions;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.raft.RaftMessageCodec;
import weldcross.consensus.raft.RaftVoter;
import weldcross.consensus.raft.RaftVoterActions;
import weldcross.consensus.wire.Move;
import weldcross.consensus.wire.Moved;
import weldcross.consensus.wire.Told;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * One gateway's side of the agreement, words joined to what decides: {@link MembershipViewClient}
 * on the gateway's thread, and a {@link RaftVoter} on its own where this gateway is one. Called by
 * the part that carries its words.
 */
public final class ConsensusService {

  private final ConsensusConfig terms;
  private final ConsensusActions host;
  private final MembershipViewClient agreed;
  private final RaftVoter voter;
  private boolean stranger;

  /**
   * @param toldShare of the fleet's budgets, from the start values
   * @param executor of the voter's thread; not looked at where this gateway is none
   * @param clock that goes evenly
   * @param seed of chance, the consensus's too
   * @param marks of voters that lost what they had kept: none twice, in whatever life of whatever
   *     process
   */
  public ConsensusService(
      ConsensusConfig terms,
      ConsensusActions host,
      double toldShare,
      RaftNodeExecutor executor,
      Clock clock,
      long seed,
      LongSupplier marks) {
    this.terms = terms;
    this.host = host;
    this.agreed = new MembershipViewClient(terms, new ForAgreed(), toldShare, seed);
    this.voter =
        terms.isVoter()
            ? new RaftVoter(terms, executor, clock, new Random(seed), marks, new ForVoter())
            : null;
  }

  /** This life begins, or a later one; the voter begins with the first. */
  public void begun(long life) {
    if (agreed.phase() == MembershipViewClient.Phase.STARTING && voter != null) {
      voter.start();
    }
    agreed.start(host.now(), life);
  }

  public void due() {
    agreed.due(host.now());
  }

  public void leave(Duration within) {
    agreed.leave(host.now(), within);
  }

  /** As {@link MembershipViewClient#join}. */
  public void join() {
    agreed.join(host.now());
  }

  public void end() {
    if (voter != null) {
      voter.end();
    }
  }

  public void gone(PeerName name, long life) {
    agreed.gone(host.now(), name, life);
  }

  public void forget(PeerName name) {
    agreed.forget(host.now(), name);
  }

  /** A word of another gateway. */
  public void heard(PeerName from, Word word) {
    if (!word.getGroup().equals(terms.group())) {
      if (!stranger) {
        stranger = true;
        host.say(
            Level.SEVERE,
            from
                + " belongs to "
                + word.getGroup()
                + ", this gateway to "
                + terms.group()
                + ": their voters differ; nothing is agreed between them");
      }
      return;
    }
    switch (word.getKindCase()) {
      case ASK -> told(from, word.getAsk());
      case TOLD -> {
        if (word.getTold().hasView()) {
          agreed.heard(host.now(), RaftMessageCodec.view(word.getTold().getView()));
        }
        agreed.told(host.now(), name(word.getTold().getLeader()));
      }
      case MOVE -> {
        if (voter != null) {
          voter.move(
              from,
              word.getMove().getNumber(),
              RaftMessageCodec.motion(word.getMove().getMotion()));
        }
      }
      case MOVED ->
          agreed.moved(
              host.now(),
              word.getMoved().getNumber(),
              verdict(word.getMoved().getVerdict()),
              name(word.getMoved().getLeader()));
      default -> {
        if (voter != null) {
          voter.heard(from, word);
        }
      }
    }
  }

  /** A gateway has come up: what it may have missed is told without being asked for. */
  public void up(PeerName peer) {
    if (voter != null && agreed.view().number() > 0) {
      told(peer, 0);
    }
  }

  private void told(PeerName to, long have) {
    if (voter == null) {
      return;
    }
    Told.Builder told = Told.newBuilder();
    if (agreed.view().number() > have) {
      told.setView(RaftMessageCodec.said(agreed.view()));
    }
    PeerName leader = voter.leader();
    host.send(to, word().setTold(told.setLeader(leader == null ? "" : leader.name())).build());
  }

  private Word.Builder word() {
    return Word.newBuilder().setGroup(terms.group());
  }

  private static PeerName name(String text) {
    return text.isEmpty() ? null : new PeerName(text);
  }

  /** Null where there is none, or one of a later version. */
  private static ProposalResult verdict(String text) {
    for (ProposalResult each : ProposalResult.values()) {
      if (each.name().equals(text)) {
        return each;
      }
    }
    return null;
  }

  public MembershipViewClient agreed() {
    return agreed;
  }

  /** Null where this gateway is none. */
  public RaftVoter voter() {
    return voter;
  }

  private final class ForAgreed implements MembershipViewActions {

    @Override
    public void ask(PeerName to, long have) {
      if (to.equals(terms.self())) {
        agreed.told(host.now(), voter.leader());
      } else {
        host.send(to, word().setAsk(have).build());
      }
    }

    @Override
    public void move(PeerName to, long number, Proposal motion) {
      if (to.equals(terms.self())) {
        voter.move(to, number, motion);
      } else {
        host.send(
            to,
            word()
                .setMove(
                    Move.newBuilder().setNumber(number).setMotion(RaftMessageCodec.said(motion)))
                .build());
      }
    }

    @Override
    public void viewIs(MembershipView view) {
      host.viewIs(view);
    }

    @Override
    public void setQuota(double share) {
      host.setQuota(share);
    }

    @Override
    public void ended(long life) {
      host.ended(life);
    }

    @Override
    public void operatorTold(Proposal motion, ProposalResult verdict) {
      host.operatorTold(motion, verdict);
    }

    @Override
    public void torn(MembershipView held, MembershipView other) {
      host.say(
          Level.SEVERE,
          "two views are numbered "
              + held.number()
              + ", "
              + held.members()
              + " and "
              + other.members()
              + ": a majority of the voters lost what it had kept; compare them, and stop one side");
    }

    @Override
    public void left() {
      host.left();
    }

    @Override
    public void wakeAt(Duration when) {
      host.wakeAt(when);
    }
  }

  /** Called on the voter's thread. */
  private final class ForVoter implements RaftVoterActions {

    @Override
    public StorageDirectory disk() throws IOException {
      return host.disk();
    }

    @Override
    public void send(PeerName to, Word word) {
      host.post(() -> host.send(to, word));
    }

    /** Of who leads all members hear at once; who does not hear it asks. */
    @Override
    public void viewIs(MembershipView view) {
      host.post(
          () -> {
            long before = agreed.view().number();
            agreed.heard(host.now(), view);
            if (agreed.view().number() > before && terms.self().equals(voter.leader())) {
              view.members().keySet().stream()
                  .filter(n -> !n.equals(terms.self()))
                  .forEach(n -> told(n, before));
            }
          });
    }

    @Override
    public void moved(PeerName asker, long number, ProposalResult verdict, PeerName leader) {
      host.post(
          () -> {
            if (asker.equals(terms.self())) {
              agreed.moved(host.now(), number, verdict, leader);
            } else {
              host.send(
                  asker,
                  word()
                      .setMoved(
                          Moved.newBuilder()
                              .setNumber(number)
                              .setVerdict(verdict == null ? "" : verdict.name())
                              .setLeader(leader == null ? "" : leader.name()))
                      .build());
            }
          });
    }

    @Override
    public void say(Level level, String words) {
      host.say(level, words);
    }
  }
}
