package weldcross.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.ServerMessageDecoder;
import weldcross.pgwire.ServerResponse;
import weldcross.pgwire.Statement;

/** What the streams of clients and servers say, as events of the reducer. */
final class Streams {

  private Streams() {}

  /**
   * @param tell takes what concerns this client alone
   * @param always takes what concerns others, and counts though this one goes
   */
  static ClientMessageDecoder client(
      Consumer<Gateway.Event> tell,
      Consumer<Gateway.Event> always,
      Supplier<Duration> clock,
      long number) {
    return new ClientMessageDecoder(
        new ClientMessageDecoder.Sink() {
          @Override
          public void encryptionAsked() {
            tell.accept(g -> g.pipeline().encryptionRequested(number));
          }

          @Override
          public void started() {
            tell.accept(g -> g.pipeline().startupReceived(number));
          }

          @Override
          public void asked(Statement statement) {
            Duration arrived = clock.get();
            tell.accept(g -> g.pipeline().statementReceived(number, statement, arrived));
          }

          @Override
          public void askedNothing() {
            tell.accept(g -> g.pipeline().emptyQueryReceived(number));
          }

          @Override
          public void askedWrongly(String state, String text) {
            tell.accept(g -> g.pipeline().invalidStatementReceived(number, state, text));
          }

          @Override
          public void begun() {
            tell.accept(g -> g.clients().messageBegun(number));
          }

          @Override
          public void broke(String state, String text) {
            tell.accept(g -> g.clients().protocolViolated(number, state, text));
          }

          @Override
          public void ended() {
            tell.accept(g -> g.clients().terminated(number));
          }

          @Override
          public void cancelAsked(int process, int secret) {
            always.accept(g -> g.cancelRequests().received(number, process, secret));
          }
        });
  }

  static ServerMessageDecoder server(Consumer<Gateway.Event> tell, long number) {
    return new ServerMessageDecoder(
        new ServerMessageDecoder.Sink() {
          @Override
          public void ready() {
            tell.accept(g -> g.serverConnections().ready(number));
          }

          @Override
          public void answered(ServerResponse answer, boolean more) {
            tell.accept(g -> g.serverConnections().answered(number, answer, more));
          }

          @Override
          public void begun() {
            tell.accept(g -> g.serverConnections().begun(number));
          }

          @Override
          public void spoilt(String why) {
            tell.accept(g -> g.serverConnections().spoilt(number, why));
          }
        });
  }
}
