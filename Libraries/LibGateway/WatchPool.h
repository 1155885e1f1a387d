#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include <LibGateway/GatewayMessage.h>

namespace paddle {

/// Runs watches on threads of their own, so that a drain can answer their
/// callers while the runners still hold them.
class WatchPool
{
public:
  WatchPool() = default;
  ~WatchPool();
  WatchPool(const WatchPool&) = delete;
  WatchPool& operator=(const WatchPool&) = delete;

  /// Runs a watch and waits for its end, or for the drain.
  /// @return the end, or nothing if the drain came first; the watch then goes
  ///         on and its end is dropped
  std::optional<RequestEnd> Run(std::function<RequestEnd()> aWatch);

  /// Makes all present and later calls of Run() return.
  void Drain();

  /// Waits for the runners to end their watches.
  void Wait();

  /// @return the number of watches that runners still hold
  [[nodiscard]] unsigned Running() const;

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mDraining = false;
  unsigned mRunning = 0;
};

/// @return the complete answer that tells a caller to watch again
RequestEnd
MakeWatchAgain();

} // namespace paddle
