package weldcross.gossip;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import weldcross.routing.ServerId;

/**
 * The one thing that gateways tell each other, as the bytes of a message: the server that was not
 * found.
 */
public final class GossipMessage {

  /** Longer messages are not carried. */
  public static final int LONGEST = 256;

  private GossipMessage() {}

  public static byte[] write(ServerId notFound) {
    return notFound.name().getBytes(StandardCharsets.UTF_8);
  }

  /** Null for what is no such message. */
  public static ServerId read(byte[] message) {
    if (message.length == 0 || message.length > LONGEST) {
      return null;
    }
    try {
      return new ServerId(
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(message)).toString());
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}
