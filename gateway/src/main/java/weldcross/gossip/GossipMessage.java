package weldcross.gossip;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import weldcross.routing.ServerId;

/** Codec of the gossip message, which contains the name of a server that could not be reached. */
public final class GossipMessage {

  /** Maximum length of a message in bytes. */
  public static final int MAX_BYTES = 256;

  private GossipMessage() {}

  /**
   * Encodes a message as UTF-8. The result may be longer than {@link #MAX_BYTES}; such a message
   * must not be sent.
   */
  public static byte[] encode(ServerId unreachable) {
    return unreachable.name().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the server named in a message, or null if the message is invalid. */
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
