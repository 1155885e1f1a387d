#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace paddle::soak {

/// Calls functions at given times, on a number of threads.
class Timers
{
public:
  explicit Timers(int aThreads);
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  /// @param aAtMs on the steady clock
  void At(std::int64_t aAtMs, std::function<void()> aCall);
  /// Waits for the calls under way, and drops the others.
  void Stop();

private:
  void Serve();

  std::mutex mMutex; ///< Protects the members below.
  std::condition_variable mChanged;
  std::multimap<std::int64_t, std::function<void()>> mCalls;
  bool mStopped = false;
  std::vector<std::thread> mThreads;
};

} // namespace paddle::soak
