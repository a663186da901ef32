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
 * Consensus service of one gateway: connects the messages of other gateways to a {@link
 * MembershipViewClient} on the gateway's event loop and, if this gateway is a voter, to a {@link
 * RaftVoter} on its own thread. All methods are called on the event loop.
 */
public final class ConsensusService {

  /** Number of the latest known view if none is known; view numbers start at one. */
  private static final long NO_VIEW = 0;

  private final ConsensusConfig config;
  private final ConsensusActions actions;
  private final MessageFactory messages;
  private final MembershipViewClient viewClient;
  private final Optional<RaftVoter> voter;
  private boolean foreignGroupLogged;

  /**
   * Creates the service, which sends nothing before {@link #start}.
   *
   * @param configuredShare share of the fleet's budgets, in force until a view is received
   * @param executor executor of the voter's thread; unused if this gateway is not a voter
   * @param clock monotonic clock of the voter
   * @param seed seed of the voter's random election timeouts and of the choice of the voter to
   *     query first
   * @param nonces generates the nonces of new voter identities, which must be unique across all
   *     processes of all voters
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

  /** Starts an incarnation; the first one of this process also starts the voter. */
  public void start(long incarnation) {
    if (viewClient.phase() == MembershipViewClient.Phase.STARTING) {
      voter.ifPresent(RaftVoter::start);
    }
    viewClient.start(actions.now(), incarnation);
  }

  /** Handles the expiry of the timer set by {@link ConsensusActions#wakeAt}. */
  public void onTimer() {
    viewClient.onTimer(actions.now());
  }

  /**
   * Leaves the view; see {@link MembershipViewClient#leave}.
   *
   * @param timeout time after which {@link ConsensusActions#left} is called in any case
   */
  public void leave(Duration timeout) {
    viewClient.leave(actions.now(), timeout);
  }

  /** Rejoins the view; see {@link MembershipViewClient#join}. */
  public void join() {
    viewClient.join(actions.now());
  }

  /** Stops the voter, the only component with a thread of its own. */
  public void stop() {
    voter.ifPresent(RaftVoter::stop);
  }

  /** Reports a dead member; see {@link MembershipViewClient#memberDied}. */
  public void memberDied(PeerName name, long incarnation) {
    viewClient.memberDied(actions.now(), name, incarnation);
  }

  /** Removes a member on behalf of an operator; see {@link MembershipViewClient#forget}. */
  public void forget(PeerName name) {
    viewClient.forget(actions.now(), name);
  }

  /** Handles a message of another gateway; messages of other groups are rejected. */
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
      default -> voter.ifPresent(raftVoter -> raftVoter.receive(from, message));
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
        raftVoter ->
            raftVoter.propose(
                from, request.getNumber(), MembershipCodec.decodeProposal(request.getProposal())));
  }

  /** Sends the current view to a gateway that has connected and may have missed changes. */
  public void peerConnected(PeerName peer) {
    if (viewClient.view().number() > NO_VIEW) {
      sendView(peer, NO_VIEW);
    }
  }

  private void sendView(PeerName to, long knownNumber) {
    voter.ifPresent(
        raftVoter -> {
          Optional<MembershipView> newerView =
              Optional.of(viewClient.view()).filter(view -> view.number() > knownNumber);
          actions.send(to, messages.viewReply(newerView, raftVoter.leader()));
        });
  }

  /** Returns the client that tracks the membership view. */
  public MembershipViewClient viewClient() {
    return viewClient;
  }

  /** Returns the voter; empty if this gateway is not a voter. */
  public Optional<RaftVoter> voter() {
    return voter;
  }

  /** Sends requests to remote voters, or passes them to the local one. */
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
        voter.ifPresent(raftVoter -> raftVoter.propose(to, number, proposal));
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
    public void conflictingViews(MembershipView current, MembershipView received) {
      actions.log(
          Level.SEVERE,
          "conflicting views with the same number: view="
              + current.number()
              + " held="
              + current.members()
              + " other="
              + received.members()
              + " reason=a majority of the voters lost stored data;"
              + " compare the views and stop one side");
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

  /** Side effects of the voter; called on the voter's thread. */
  private final class VoterActions implements RaftVoterActions {

    @Override
    public StorageDirectory openDirectory() throws IOException {
      return actions.openDirectory();
    }

    @Override
    public void send(PeerName to, ConsensusMessage message) {
      actions.post(() -> actions.send(to, message));
    }

    /** The leader pushes a new view to all members; gateways that miss it request it later. */
    @Override
    public void viewCommitted(MembershipView view) {
      actions.post(
          () -> {
            long previousNumber = viewClient.view().number();
            viewClient.viewReceived(actions.now(), view);
            if (viewClient.view().number() > previousNumber && isLeader()) {
              view.members().keySet().stream()
                  .filter(name -> !name.equals(config.self()))
                  .forEach(name -> sendView(name, previousNumber));
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
    public void log(Level level, String message) {
      actions.log(level, message);
    }
  }
}
