#include <LibGateway/Prober.h>

namespace paddle {

namespace {

constexpr std::size_t kMostOrders = 1024;

/// With 500 ms time-outs, 17 silent runners (a data centre of the present
/// deployments) are probed in about two seconds.
constexpr unsigned kThreads = 4;

} // namespace

Prober::Prober(HttpClient& aClient,
               Millis aTimeout,
               std::function<std::string(std::string_view)> aHealthPath,
               std::function<void(const ProbeEnded&)> aReport)
  : mClient(aClient)
  , mTimeout(aTimeout)
  , mHealthPath(std::move(aHealthPath))
  , mReport(std::move(aReport))
  , mOrders(kMostOrders)
{
  for (unsigned i = 0; i < kThreads; ++i) {
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
  mOrders.Close();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

bool
Prober::TryOrder(ProbeOrder aOrder)
{
  return mOrders.TryPush(std::move(aOrder)) == PushResult::Accepted;
}

void
Prober::Run()
{
  while (!mOrders.Closed()) {
    const auto order = mOrders.Pop(Seconds(1));
    if (!order) {
      continue;
    }
    HttpRequest request;
    request.mPath = mHealthPath(order->mService);
    const auto reply = mClient.Execute(
      order->mEndpoint, request, mTimeout, ConnectionUse::Fresh);
    const bool healthy = Succeeded(reply) && ValueOf(reply).mStatus == 200;
    mReport({ order->mRunner, healthy });
  }
}

} // namespace paddle
