#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include <LibGateway/GatewayMessage.h>

namespace paddle {

/// Runs each watch (long poll) on a thread of its own, so that Drain() can
/// answer the callers while runners still hold the watches.
class WatchPool
{
public:
  WatchPool() = default;
  ~WatchPool();
  WatchPool(const WatchPool&) = delete;
  WatchPool& operator=(const WatchPool&) = delete;

  /// Runs a watch and waits for its reply or for Drain().
  /// @param aWatch sends the watch and returns the reply
  /// @return the reply, or nothing if Drain() was called first. In that case a
  ///         watch that was started goes on, and its reply is dropped.
  std::optional<ReplyWithOutcome> Run(std::function<ReplyWithOutcome()> aWatch);

  /// Makes all present and later calls of Run() return at once.
  void Drain();

  /// Waits until all watches have ended.
  void Wait();

  /// @return the number of watches that have not ended
  [[nodiscard]] unsigned Running() const;

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged; ///< A watch ended or Drain() was called.
  bool mDraining = false;
  unsigned mRunning = 0;
};

/// @return a complete answer that tells the caller to send its watch again
ReplyWithOutcome
MakeWatchAgainReply();

} // namespace paddle
