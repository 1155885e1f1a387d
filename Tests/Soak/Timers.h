#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace paddle::soak {

/// Calls functions at given times, on a number of threads.
class Timers
{
public:
  explicit Timers(std::size_t aThreads)
    : mPool(aThreads)
  {
  }

  /// @param aAtMs on the steady clock
  void At(std::int64_t aAtMs, std::function<void()> aCall)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mPool,
      std::chrono::steady_clock::time_point(std::chrono::milliseconds(aAtMs)));
    timer->async_wait([timer, call = std::move(aCall)](auto aError) {
      if (!aError) {
        call();
      }
    });
  }

  /// Waits for the calls under way, and drops the others.
  void Stop()
  {
    mPool.stop();
    mPool.join();
  }

private:
  boost::asio::thread_pool mPool;
};

} // namespace paddle::soak
