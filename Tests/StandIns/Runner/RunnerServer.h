#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <StandIns/Runner/HostsFile.h>
#include <StandIns/Runner/RunnerState.h>

namespace paddle {

/// Options that apply to all runners of the process.
struct RunnerOptions
{
  std::uint64_t mSeed = 1; ///< Each runner adds its index to this seed.
  RunnerLimits mLimits;
  ServiceTimes mTimes;
};

/// Serves many simulated runners in one thread. It uses Boost.Beast instead of
/// LibHttp, because it must count connections and break them at exact points.
class RunnerServer
{
public:
  /// Starts to listen on the address of each runner.
  /// @return the server, or an error of kind Unavailable if an address can't be
  ///         listened on
  static Outcome<std::unique_ptr<RunnerServer>> Start(
    const std::vector<RunnerHost>& aHosts,
    const RunnerOptions& aOptions);

  ~RunnerServer();
  RunnerServer(const RunnerServer&) = delete;
  RunnerServer& operator=(const RunnerServer&) = delete;

  /// Serves until SIGTERM or SIGINT, or until Stop().
  void Run();

  /// Makes Run() return. May be called from any thread.
  void Stop();

private:
  struct State;
  explicit RunnerServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
