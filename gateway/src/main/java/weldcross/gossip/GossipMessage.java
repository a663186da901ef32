package weldcross.gossip;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import weldcross.routing.ServerId;

/** The codec of the one message between gateways: the name of a server that was not reachable. */
public final class GossipMessage {

  /** The longest message that is carried, in bytes. */
  public static final int MAX_BYTES = 256;

  private GossipMessage() {}

  /** Returns the message, in UTF-8; it may be longer than {@link #MAX_BYTES}. */
  public static byte[] encode(ServerId unreachable) {
    return unreachable.name().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the server that the message names, or null if it is no such message. */
  public static ServerId decode(byte[] message) {
    if (message.length == 0 || message.length > MAX_BYTES) {
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
