package weldcross.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;

/**
 * Several buffers that MINA handles as a single one and that {@link GatheringIoProcessor} writes
 * with one gathering write, without copying.
 */
class CompositeBuffer extends IoBufferWrapper {

  private final ByteBuffer[] parts;

  /**
   * Creates a buffer over the given ones, whose positions advance as it is written.
   *
   * @param parts at least one
   */
  CompositeBuffer(ByteBuffer... parts) {
    super(IoBuffer.wrap(parts[0]));
    this.parts = parts;
  }

  /** Writes as many bytes as the channel accepts; returns their number. */
  long writeTo(GatheringByteChannel channel) throws IOException {
    return channel.write(parts);
  }

  /**
   * Returns this buffer itself: MINA writes a duplicate of the buffer it was given, and the
   * inherited method would duplicate only the first part.
   */
  @Override
  public IoBuffer duplicate() {
    return this;
  }

  @Override
  public int remaining() {
    int remaining = 0;
    for (ByteBuffer part : parts) {
      remaining += part.remaining();
    }
    return remaining;
  }

  @Override
  public boolean hasRemaining() {
    return remaining() > 0;
  }
}
