#include "Timers.h"

#include <chrono>
#include <utility>

#include "Http.h"

namespace paddle::soak {

Timers::Timers(int aThreads)
{
  for (int i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { Serve(); });
  }
}

Timers::~Timers()
{
  Stop();
}

void
Timers::At(std::int64_t aAtMs, std::function<void()> aCall)
{
  const std::lock_guard lock(mMutex);
  mCalls.emplace(aAtMs, std::move(aCall));
  mChanged.notify_one();
}

void
Timers::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
    mChanged.notify_all();
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void
Timers::Serve()
{
  std::unique_lock lock(mMutex);
  while (!mStopped) {
    if (mCalls.empty()) {
      mChanged.wait(lock);
      continue;
    }
    const std::int64_t waitMs = mCalls.begin()->first - review::SteadyMs();
    if (waitMs > 0) {
      mChanged.wait_for(lock, std::chrono::milliseconds(waitMs));
      continue;
    }
    const std::function<void()> call = std::move(mCalls.begin()->second);
    mCalls.erase(mCalls.begin());
    lock.unlock();
    call();
    lock.lock();
  }
}

} // namespace paddle::soak
