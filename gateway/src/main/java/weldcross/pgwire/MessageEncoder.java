package weldcross.pgwire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The few messages that a gateway words itself, to clients and to servers. */
public final class MessageEncoder {

  private static final byte[] READY = message('Z', "I");

  private MessageEncoder() {}

  /**
   * Authentication passed, what drivers want to be told, and ready; to be cancelled with no key.
   */
  public static ByteBuffer welcome() {
    return welcome(0, 0);
  }

  /** The same with the key by which its statements may be cancelled from another connection. */
  public static ByteBuffer welcome(int process, int secret) {
    byte[] key =
        ByteBuffer.allocate(13).put((byte) 'K').putInt(12).putInt(process).putInt(secret).array();
    return join(
        message('R', "\0\0\0\0"),
        message('S', "server_version\0" + "15.0\0"),
        message('S', "client_encoding\0UTF8\0"),
        message('S', "standard_conforming_strings\0on\0"),
        key,
        READY);
  }

  /** No to a request for encryption. */
  public static ByteBuffer noEncryption() {
    return ByteBuffer.wrap(new byte[] {'N'});
  }

  public static ByteBuffer emptyQuery() {
    return join(message('I', ""), READY);
  }

  public static ByteBuffer ready() {
    return ByteBuffer.wrap(READY);
  }

  /**
   * @param detail the field D; null for none
   */
  public static ByteBuffer error(String state, String text, String detail) {
    return join(error("ERROR", state, text, detail), READY);
  }

  /** After this the connection ends. */
  public static ByteBuffer fatal(String state, String text) {
    return join(error("FATAL", state, text, null));
  }

  /** A row as a server gives it, with its role and position: for stand-ins. */
  public static byte[] row(String value, String tag, long positionMillis) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    byte[] data =
        ByteBuffer.allocate(11 + bytes.length)
            .put((byte) 'D')
            .putInt(10 + bytes.length)
            .putShort((short) 1)
            .putInt(bytes.length)
            .put(bytes)
            .array();
    return join(
            message('T', "\0\1content" + "\0".repeat(19)),
            data,
            message('C', tag + "\0"),
            message('S', "mode\0read-write\0"),
            message('S', "wal_time\0" + positionMillis + "\0"),
            READY)
        .array();
  }

  /** The start of a session at a server. */
  public static ByteBuffer startup() {
    byte[] body = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(8 + body.length)
        .putInt(8 + body.length)
        .putInt(FrameDecoder.VERSION_3)
        .put(body)
        .flip();
  }

  public static ByteBuffer query(String text) {
    return join(message('Q', text + "\0"));
  }

  private static byte[] error(String severity, String state, String text, String detail) {
    return message(
        'E',
        "S"
            + severity
            + "\0V"
            + severity
            + "\0C"
            + state
            + "\0M"
            + text
            + "\0"
            + (detail == null ? "" : "D" + detail + "\0")
            + "\0");
  }

  private static byte[] message(char type, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(5 + bytes.length)
        .put((byte) type)
        .putInt(4 + bytes.length)
        .put(bytes)
        .array();
  }

  private static ByteBuffer join(byte[]... messages) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] m : messages) {
      all.writeBytes(m);
    }
    return ByteBuffer.wrap(all.toByteArray());
  }
}
