package weldcross.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.logging.Logger;
import weldcross.discovery.ListedMember;
import weldcross.terms.FaultyTerm;
import weldcross.terms.GatewayTerms;
import weldcross.terms.NamedValues;

/**
 * The reducer's talk with discovery: the list as last had, the whole list, then one watch after the other.
 */
final class ListWatch {

    private static final Logger LOG = Logger.getLogger(ListWatch.class.getName());

    private final Gateway gateway;
    private final Effects effects;
    private final GatewayTerms terms;
    /** How long a watch waits, and how long an answer may take beyond what it waits for. */
    private final Duration watch;
    private final Duration grace;
    private long link;
    private long revision = -1;
    private long asked;
    private boolean up;
    private boolean answered;
    private boolean failing;

    ListWatch(Gateway gateway, Effects effects, GatewayTerms terms) {
        this.gateway = gateway;
        this.effects = effects;
        this.terms = terms;
        this.watch = terms.service().askWithin().dividedBy(2);
        this.grace = terms.connectTimeout().multipliedBy(4);
    }

    void start() {
        if (terms.known().has("members.count")) {
            take(terms.known());
            revision = -1;
        }
        dial();
    }

    void up(long number) {
        if (number == link) {
            up = true;
            ask();
        } else {
            effects.drop(number);
        }
    }

    void gone(long number) {
        if (number == link && answered) {
            // It closes after an answer, as it may; what it told so far is held, so nothing is missed.
            dial();
        } else if (number == link) {
            fail("its connection ended");
        }
    }

    void answered(long number, int status, byte[] text) {
        if (number != link) {
            return;
        }
        if (status != 200) {
            fail("it answers with status " + status);
            return;
        }
        try {
            take(NamedValues.ofJson(text));
        } catch (FaultyTerm e) {
            fail(e.getMessage());
            return;
        }
        answered = true;
        if (failing) {
            failing = false;
            LOG.info("the list is watched again");
        }
        ask();
    }

    private void take(NamedValues told) {
        // What lacks these is no list, and taken for an empty one it would end all service.
        told.text("revision");
        told.text("complete");
        told.text("members.count");
        List<ListedMember> members = ListedMember.read(told, terms.zones());
        long next = told.whole("revision", -1, 0);
        boolean whole = told.flag("complete", false);
        if (next != revision && !(members.isEmpty() && !whole)) {
            LOG.info(() -> "list " + next + (whole ? " whole, " : " changed, ") + members.size()
                    + " entries");
        }
        revision = next;
        gateway.listed(whole, members);
    }

    private void dial() {
        up = false;
        answered = false;
        link = gateway.nextNumber();
        effects.dialDiscovery(link, terms.discovery());
        expectWithin(grace);
    }

    private void ask() {
        boolean first = revision < 0;
        String path = first ? "/catalog/members"
                : "/catalog/members?since=" + revision + "&timeout_ms=" + watch.toMillis();
        String head = "GET " + path + " HTTP/1.1\r\nHost: " + terms.discovery().getHostString() + ":"
                + terms.discovery().getPort() + "\r\nAccept: application/json\r\n\r\n";
        effects.write(link, ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
        expectWithin(first ? grace : watch.plus(grace));
    }

    private void expectWithin(Duration time) {
        long expected = ++asked;
        gateway.at(gateway.now().plus(time), () -> {
            if (asked == expected) {
                fail(up ? "it is silent" : "it cannot be reached");
            }
        });
    }

    /** The list held stays in force; asking goes on soon, from the whole list, as a change may be lost. */
    private void fail(String why) {
        if (!failing) {
            failing = true;
            LOG.warning("discovery: " + why + "; the list held stays in force");
        }
        asked++;
        effects.drop(link);
        link = 0;
        revision = -1;
        gateway.at(gateway.now().plus(terms.connectTimeout()), this::dial);
    }
}
