package weldcross.consensus.net;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewActions;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalOutcome;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.raft.MembershipCodec;
import weldcross.consensus.raft.RaftVoter;
import weldcross.consensus.raft.RaftVoterActions;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.consensus.wire.ProposalRequest;
import weldcross.consensus.wire.ViewReply;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * One gateway's side of the consensus: a {@link MembershipViewClient} on the gateway's event loop
 * and, where this gateway is a voter, a {@link RaftVoter} on its own thread, joined to the messages
 * of other gateways. All methods are called on the event loop.
 */
public final class ConsensusService {

  /** Requests any view, as view numbers begin at one. */
  private static final long NO_VIEW = 0;

  private final ConsensusConfig config;
  private final ConsensusActions actions;
  private final MessageFactory messages;
  private final MembershipViewClient viewClient;
  private final Optional<RaftVoter> voter;
  private boolean foreignGroupLogged;

  /**
   * Creates the service of a gateway; nothing is sent before {@link #start}.
   *
   * @param configuredShare of the fleet's budgets, in force until there is a view
   * @param executor of the voter's thread; unused where this gateway is no voter
   * @param clock of the voter; never jumps
   * @param seed of the voter's random election timeouts, and of the first voter that is asked
   * @param nonces of new voter identities; no value twice, over all processes of all voters
   */
  public ConsensusService(
      ConsensusConfig config,
      ConsensusActions actions,
      double configuredShare,
      RaftNodeExecutor executor,
      Clock clock,
      long seed,
      LongSupplier nonces) {
    this.config = config;
    this.actions = actions;
    this.messages = new MessageFactory(config.group());
    this.viewClient =
        new MembershipViewClient(config, new ViewClientActions(), configuredShare, seed);
    this.voter =
        config.isVoter()
            ? Optional.of(
                new RaftVoter(
                    config, executor, clock, new Random(seed), nonces, new VoterActions()))
            : Optional.empty();
  }

  /** An incarnation begins; the voter is started with the first of this process. */
  public void start(long incarnation) {
    if (viewClient.phase() == MembershipViewClient.Phase.STARTING) {
      voter.ifPresent(RaftVoter::start);
    }
    viewClient.start(actions.now(), incarnation);
  }

  /** The timer set by {@link ConsensusActions#wakeAt} has expired. */
  public void onTimer() {
    viewClient.onTimer(actions.now());
  }

  /**
   * As {@link MembershipViewClient#leave}.
   *
   * @param timeout after which {@link ConsensusActions#left} is called in any case
   */
  public void leave(Duration timeout) {
    viewClient.leave(actions.now(), timeout);
  }

  /** As {@link MembershipViewClient#join}. */
  public void join() {
    viewClient.join(actions.now());
  }

  /** Ends the voter; nothing else has to be ended. */
  public void end() {
    voter.ifPresent(RaftVoter::end);
  }

  /** As {@link MembershipViewClient#memberDied}. */
  public void memberDied(PeerName name, long incarnation) {
    viewClient.memberDied(actions.now(), name, incarnation);
  }

  /** As {@link MembershipViewClient#forget}. */
  public void forget(PeerName name) {
    viewClient.forget(actions.now(), name);
  }

  /** Takes a message of another gateway; one of another group is rejected. */
  public void receive(PeerName from, ConsensusMessage message) {
    if (!message.getGroup().equals(config.group())) {
      logForeignGroup(from, message.getGroup());
      return;
    }
    switch (message.getKindCase()) {
      case VIEW_REQUEST -> sendView(from, message.getViewRequest());
      case VIEW_REPLY -> receiveView(message.getViewReply());
      case PROPOSAL_REQUEST -> receiveProposal(from, message.getProposalRequest());
      case PROPOSAL_REPLY ->
          viewClient.proposalAnswered(
              actions.now(),
              message.getProposalReply().getNumber(),
              MessageFactory.decodeOutcome(message.getProposalReply()));
      default -> voter.ifPresent(one -> one.receive(from, message));
    }
  }

  private void logForeignGroup(PeerName from, String group) {
    if (!foreignGroupLogged) {
      foreignGroupLogged = true;
      actions.log(
          Level.SEVERE,
          "message of another group rejected: peer="
              + from
              + " group="
              + group
              + " ownGroup="
              + config.group()
              + " reason=cluster names or voters differ");
    }
  }

  private void receiveView(ViewReply reply) {
    if (reply.hasView()) {
      viewClient.viewReceived(actions.now(), MembershipCodec.decodeView(reply.getView()));
    }
    viewClient.voterAnswered(actions.now(), MessageFactory.decodeName(reply.getLeader()));
  }

  private void receiveProposal(PeerName from, ProposalRequest request) {
    voter.ifPresent(
        one ->
            one.propose(
                from, request.getNumber(), MembershipCodec.decodeProposal(request.getProposal())));
  }

  /** A gateway has connected: it is sent the view, of which it may have missed changes. */
  public void peerConnected(PeerName peer) {
    if (viewClient.view().number() > NO_VIEW) {
      sendView(peer, NO_VIEW);
    }
  }

  private void sendView(PeerName to, long knownNumber) {
    voter.ifPresent(
        one -> {
          Optional<MembershipView> later =
              Optional.of(viewClient.view()).filter(view -> view.number() > knownNumber);
          actions.send(to, messages.viewReply(later, one.leader()));
        });
  }

  /** The view as this gateway knows it. */
  public MembershipViewClient viewClient() {
    return viewClient;
  }

  /** The voter; empty where this gateway is none. */
  public Optional<RaftVoter> voter() {
    return voter;
  }

  /** Sends requests to voters, or passes them to this gateway's own. */
  private final class ViewClientActions implements MembershipViewActions {

    @Override
    public void requestView(PeerName to, long knownNumber) {
      if (to.equals(config.self())) {
        viewClient.voterAnswered(actions.now(), voter.flatMap(RaftVoter::leader));
      } else {
        actions.send(to, messages.viewRequest(knownNumber));
      }
    }

    @Override
    public void propose(PeerName to, long number, Proposal proposal) {
      if (to.equals(config.self())) {
        voter.ifPresent(one -> one.propose(to, number, proposal));
      } else {
        actions.send(to, messages.proposalRequest(number, proposal));
      }
    }

    @Override
    public void viewChanged(MembershipView view) {
      actions.viewChanged(view);
    }

    @Override
    public void setQuota(double share) {
      actions.setQuota(share);
    }

    @Override
    public void incarnationEnded(long incarnation) {
      actions.incarnationEnded(incarnation);
    }

    @Override
    public void operatorProposalDecided(Proposal proposal, ProposalResult result) {
      actions.operatorProposalDecided(proposal, result);
    }

    @Override
    public void conflictingViews(MembershipView held, MembershipView other) {
      actions.log(
          Level.SEVERE,
          "two views of one number: view="
              + held.number()
              + " held="
              + held.members()
              + " other="
              + other.members()
              + " reason=a majority of the voters lost stored data; compare them, stop one side");
    }

    @Override
    public void left() {
      actions.left();
    }

    @Override
    public void wakeAt(Duration when) {
      actions.wakeAt(when);
    }
  }

  /** Called on the voter's thread. */
  private final class VoterActions implements RaftVoterActions {

    @Override
    public StorageDirectory openDirectory() throws IOException {
      return actions.openDirectory();
    }

    @Override
    public void send(PeerName to, ConsensusMessage message) {
      actions.post(() -> actions.send(to, message));
    }

    /** The leader sends a new view to all members at once; the others request it. */
    @Override
    public void viewCommitted(MembershipView view) {
      actions.post(
          () -> {
            long before = viewClient.view().number();
            viewClient.viewReceived(actions.now(), view);
            if (viewClient.view().number() > before && isLeader()) {
              view.members().keySet().stream()
                  .filter(name -> !name.equals(config.self()))
                  .forEach(name -> sendView(name, before));
            }
          });
    }

    private boolean isLeader() {
      return voter.flatMap(RaftVoter::leader).filter(config.self()::equals).isPresent();
    }

    @Override
    public void proposalAnswered(PeerName proposer, long number, ProposalOutcome outcome) {
      actions.post(
          () -> {
            if (proposer.equals(config.self())) {
              viewClient.proposalAnswered(actions.now(), number, outcome);
            } else {
              actions.send(proposer, messages.proposalReply(number, outcome));
            }
          });
    }

    @Override
    public void log(Level level, String line) {
      actions.log(level, line);
    }
  }
}
