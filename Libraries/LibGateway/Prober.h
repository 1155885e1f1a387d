#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <LibBase/Ring.h>
#include <LibGateway/RoutingThread.h>
#include <LibHttp/HttpClient.h>

namespace paddle {

/// Sends health probes to runners, each over a new connection. Runs several
/// threads, because a runner that does not answer occupies one for the whole
/// time-out.
class Prober
{
public:
  /// Starts the threads.
  /// @param aTimeout    time-out of one probe
  /// @param aHealthPath returns the path of a service's health checks
  /// @param aReport     receives the result of each probe
  Prober(HttpClient& aClient,
         Millis aTimeout,
         std::function<std::string(std::string_view)> aHealthPath,
         std::function<void(const ProbeEnded&)> aReport);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  /// Stops the threads; later probe requests are rejected.
  void Stop();

  /// Queues a probe.
  /// @return whether it was queued; it is not when the queue is full or the
  ///         prober has been stopped
  [[nodiscard]] bool TryEnqueue(ProbeRequest aRequest);

private:
  void Run();

  HttpClient& mClient;
  const Millis mTimeout;
  std::function<std::string(std::string_view)> mHealthPath;
  std::function<void(const ProbeEnded&)> mReport;
  Ring<ProbeRequest> mQueue;
  std::vector<std::thread> mThreads;
};

} // namespace paddle
