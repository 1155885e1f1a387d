#include <LibGateway/WatchPool.h>

#include <memory>
#include <thread>

namespace paddle {

WatchPool::~WatchPool()
{
  Wait();
}

void
WatchPool::Wait()
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return mRunning == 0; });
}

std::optional<RequestEnd>
WatchPool::Run(std::function<RequestEnd()> aWatch)
{
  std::unique_lock lock(mMutex);
  if (mDraining) {
    return std::nullopt;
  }
  ++mRunning;
  const auto end = std::make_shared<std::optional<RequestEnd>>();
  std::thread([this, end, watch = std::move(aWatch)] {
    RequestEnd result = watch();
    // Notified under the lock, because the destructor may run right after.
    const std::lock_guard inner(mMutex);
    *end = std::move(result);
    --mRunning;
    mChanged.notify_all();
  }).detach();
  mChanged.wait(lock, [&] { return mDraining || end->has_value(); });
  return *end;
}

void
WatchPool::Drain()
{
  const std::lock_guard lock(mMutex);
  mDraining = true;
  mChanged.notify_all();
}

unsigned
WatchPool::Running() const
{
  const std::lock_guard lock(mMutex);
  return mRunning;
}

RequestEnd
MakeWatchAgain()
{
  return { RequestOutcome::Answered,
           { 200, { { kWatchHeader, "again" } }, {} },
           {} };
}

} // namespace paddle
