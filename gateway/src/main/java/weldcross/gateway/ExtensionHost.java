package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;

/** The extensions of one gateway, started in the order added and stopped in reverse order. */
final class ExtensionHost {

  private final List<GatewayExtension> extensions = new ArrayList<>();

  /** Adds an extension; must be called before {@link #start}. */
  void add(GatewayExtension extension) {
    extensions.add(extension);
  }

  /**
   * Creates the interface through which extensions access the gateway.
   *
   * @param post posts an event to the event loop, from any thread
   */
  static ExtensionContext createContext(Gateway gateway, Consumer<Gateway.Event> post) {
    return new ExtensionContext() {
      @Override
      public Duration now() {
        return gateway.now();
      }

      @Override
      public void schedule(Duration when, Runnable task) {
        gateway.schedule(when, task);
      }

      @Override
      public void defer(Runnable task) {
        gateway.defer(task);
      }

      @Override
      public void post(Runnable task) {
        post.accept(g -> task.run());
      }

      @Override
      public void stateChanged() {
        gateway.extensionStateChanged();
      }

      @Override
      public void setQuota(double share) {
        gateway.router().setQuota(share);
      }
    };
  }

  void start(ExtensionContext context) {
    extensions.forEach(extension -> extension.start(context));
  }

  void drain() {
    extensions.forEach(GatewayExtension::drain);
  }

  void reloaded() {
    extensions.forEach(GatewayExtension::configReloaded);
  }

  /** Whether all extensions are ready. */
  boolean isReady() {
    return extensions.stream().allMatch(GatewayExtension::isReady);
  }

  /** Whether all extensions allow the gateway to stop. */
  boolean isDone() {
    return extensions.stream().allMatch(GatewayExtension::isDrained);
  }

  /** Stops all extensions in reverse order. */
  void stop() {
    for (int index = extensions.size() - 1; index >= 0; index--) {
      extensions.get(index).stop();
    }
  }

  boolean isEmpty() {
    return extensions.isEmpty();
  }

  /** Describes the state of all extensions for the log. */
  String describe() {
    return extensions.stream().map(GatewayExtension::describe).collect(Collectors.joining("; "));
  }
}
