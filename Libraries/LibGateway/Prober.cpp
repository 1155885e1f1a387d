#include <LibGateway/Prober.h>

namespace paddle {

namespace {

/// Further probe requests are rejected; the routing thread then asks again.
constexpr std::size_t kMaxQueuedProbes = 1024;

/// With a time-out of 500 ms, 4 threads probe 17 runners that do not answer (a
/// data centre of the present deployments) in about two seconds.
constexpr unsigned kProbeThreads = 4;

} // namespace

Prober::Prober(HttpClient& aClient,
               Millis aTimeout,
               std::function<std::string(std::string_view)> aHealthPath,
               std::function<void(const ProbeEnded&)> aReport)
  : mClient(aClient)
  , mTimeout(aTimeout)
  , mHealthPath(std::move(aHealthPath))
  , mReport(std::move(aReport))
  , mQueue(kMaxQueuedProbes)
{
  for (unsigned i = 0; i < kProbeThreads; ++i) {
    mThreads.emplace_back([this] { Run(); });
  }
}

Prober::~Prober()
{
  Stop();
}

void
Prober::Stop()
{
  mQueue.Close();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

bool
Prober::TryEnqueue(ProbeRequest aRequest)
{
  return mQueue.TryPush(std::move(aRequest)) == PushResult::Accepted;
}

void
Prober::Run()
{
  while (!mQueue.Closed()) {
    const auto probe = mQueue.Pop(Seconds(1));
    if (!probe) {
      continue;
    }
    HttpRequest request;
    request.mPath = mHealthPath(probe->mService);
    const auto reply = mClient.Execute(
      probe->mEndpoint, request, mTimeout, ConnectionUse::Fresh);
    const bool healthy = Succeeded(reply) && ValueOf(reply).mStatus == 200;
    mReport({ probe->mRunner, healthy });
  }
}

} // namespace paddle
