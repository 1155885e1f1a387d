#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <LibBase/Ring.h>
#include <LibGateway/RoutingThread.h>
#include <LibHttp/HttpClient.h>

namespace paddle {

/// Asks runners for their health over new connections. Runs a few threads,
/// because a silent runner holds one for the whole time-out.
class Prober
{
public:
  /// @param aHealthPath finds the health path of a service
  /// @param aReport     receives each result
  Prober(HttpClient& aClient,
         Millis aTimeout,
         std::function<std::string(std::string_view)> aHealthPath,
         std::function<void(const ProbeEnded&)> aReport);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  /// Ends the threads; later orders are not taken.
  void Stop();

  /// @return whether the order was taken
  [[nodiscard]] bool TryOrder(ProbeOrder aOrder);

private:
  void Run();

  HttpClient& mClient;
  const Millis mTimeout;
  std::function<std::string(std::string_view)> mHealthPath;
  std::function<void(const ProbeEnded&)> mReport;
  Ring<ProbeOrder> mOrders;
  std::vector<std::thread> mThreads;
};

} // namespace paddle
