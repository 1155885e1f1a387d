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

std::optional<ReplyWithOutcome>
WatchPool::Run(std::function<ReplyWithOutcome()> aWatch)
{
  std::unique_lock lock(mMutex);
  if (mDraining) {
    return std::nullopt;
  }
  ++mRunning;
  const auto reply = std::make_shared<std::optional<ReplyWithOutcome>>();
  std::thread([this, reply, watch = std::move(aWatch)] {
    ReplyWithOutcome result = watch();
    // The notification is sent while the mutex is held, because the destructor
    // may run as soon as it is released.
    const std::lock_guard inner(mMutex);
    *reply = std::move(result);
    --mRunning;
    mChanged.notify_all();
  }).detach();
  mChanged.wait(lock, [&] { return mDraining || reply->has_value(); });
  return *reply;
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

ReplyWithOutcome
MakeWatchAgainReply()
{
  return { RequestOutcome::Answered,
           { 200, { { kWatchHeader, "again" } }, {} },
           {} };
}

} // namespace paddle
