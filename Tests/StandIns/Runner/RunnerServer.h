#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <StandIns/Runner/HostsFile.h>
#include <StandIns/Runner/RunnerState.h>

namespace paddle {

struct RunnerOptions
{
  std::uint64_t mSeed = 1;
  RunnerLimits mLimits;
  ServiceTimes mTimes;
};

/// Plays many runners in one thread. It reads and writes its connections
/// through Boost.Beast instead of LibHttp, because it must count connections
/// and break them at exact points.
class RunnerServer
{
public:
  /// Starts to listen on each runner's address.
  static Outcome<std::unique_ptr<RunnerServer>> Start(
    const std::vector<RunnerHost>& aHosts,
    const RunnerOptions& aOptions);

  ~RunnerServer();
  RunnerServer(const RunnerServer&) = delete;
  RunnerServer& operator=(const RunnerServer&) = delete;

  /// Serves until SIGTERM or SIGINT, or until Stop().
  void Run();

  /// May be called from any thread.
  void Stop();

private:
  struct State;
  explicit RunnerServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace paddle
