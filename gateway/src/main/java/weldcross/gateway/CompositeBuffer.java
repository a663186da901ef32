package weldcross.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;

/**
 * Several buffers that MINA takes for one and that {@link GatheringIoProcessor} writes by one call,
 * without a copy.
 */
class CompositeBuffer extends IoBufferWrapper {

  private final ByteBuffer[] parts;

  /**
   * Creates a buffer over the given ones, whose positions move as it is written.
   *
   * @param parts at least one
   */
  CompositeBuffer(ByteBuffer... parts) {
    super(IoBuffer.wrap(parts[0]));
    this.parts = parts;
  }

  /** Writes as much as the channel takes; returns the number of bytes. */
  long writeTo(GatheringByteChannel channel) throws IOException {
    return channel.write(parts);
  }

  /**
   * Returns this: MINA writes a duplicate of what it is given, and the inherited method would
   * duplicate the first part alone.
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
