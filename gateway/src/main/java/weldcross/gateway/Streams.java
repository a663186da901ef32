package weldcross.gateway;

import java.time.Duration;
import java.util.function.Supplier;
import weldcross.pgwire.ClientReader;
import weldcross.pgwire.ServerAnswer;
import weldcross.pgwire.ServerReader;
import weldcross.pgwire.Statement;

/** What the streams of clients and servers say, as events of the reducer. */
final class Streams {

    private Streams() {
    }

    static ClientReader client(Loop loop, Supplier<Duration> clock, long number) {
        return new ClientReader(new ClientReader.Sink() {
            @Override
            public void encryptionAsked() {
                loop.post(g -> g.encryptionAsked(number));
            }

            @Override
            public void started() {
                loop.post(g -> g.clientStarted(number));
            }

            @Override
            public void asked(Statement statement) {
                Duration arrived = clock.get();
                loop.post(g -> g.asked(number, statement, arrived));
            }

            @Override
            public void askedNothing() {
                loop.post(g -> g.askedNothing(number));
            }

            @Override
            public void askedWrongly(String state, String text) {
                loop.post(g -> g.askedWrongly(number, state, text));
            }

            @Override
            public void begun() {
                loop.post(g -> g.clientBegun(number));
            }

            @Override
            public void broke(String state, String text) {
                loop.post(g -> g.clientBroke(number, state, text));
            }

            @Override
            public void ended() {
                loop.post(g -> g.clientEnded(number));
            }
        });
    }

    static ServerReader server(Loop loop, long number) {
        return new ServerReader(new ServerReader.Sink() {
            @Override
            public void ready() {
                loop.post(g -> g.links().ready(number));
            }

            @Override
            public void answered(ServerAnswer answer, boolean more) {
                loop.post(g -> g.links().answered(number, answer, more));
            }

            @Override
            public void begun() {
                loop.post(g -> g.links().begun(number));
            }

            @Override
            public void spoilt(String why) {
                loop.post(g -> g.links().spoilt(number, why));
            }
        });
    }
}
