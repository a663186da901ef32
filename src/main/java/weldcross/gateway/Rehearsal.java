package weldcross.gateway;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import weldcross.pgwire.Replies;
import weldcross.terms.GatewayTerms;

/**
 * One short life of a gateway on a loopback port of its own, without any server: started, asked once for each
 * method, stopped. The build archives the classes that it loads, as a gateway restarted in mid-day serves
 * nobody while they load; by hand it shows that a configuration starts.
 */
public final class Rehearsal {

    private Rehearsal() {
    }

    /** Returns the status with which the gateway ended. */
    public static int run(GatewayTerms terms) throws IOException {
        Service service = new Service(terms.alone());
        CompletableFuture<Integer> status = CompletableFuture.supplyAsync(service::serve);
        InetSocketAddress at = service.listening().join();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            ask(client, in, Replies.startup());
            ask(client, in, Replies.query(""));
            for (String method : terms.methods()) {
                String comment = " /* id=" + method + ",c=" + method + ",d=100,cluster=0 */";
                ask(client, in, Replies.query("SELECT content FROM kv WHERE name = 'k'" + comment));
                ask(client, in, Replies.query("INSERT INTO kv (name, content) VALUES ('k', '\\x00') "
                        + "RETURNING content" + comment));
            }
        }
        service.stop();
        return status.join();
    }

    /** Reads on to ReadyForQuery. */
    private static void ask(Socket client, DataInputStream in, ByteBuffer message) throws IOException {
        client.getOutputStream().write(message.array(), message.position(), message.remaining());
        byte type;
        do {
            type = in.readByte();
            in.readFully(new byte[in.readInt() - Integer.BYTES]);
        } while (type != 'Z');
    }
}
