#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/JobSpec.h>
#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle {

/// A queue and the requests that belong to it.
struct Route
{
  std::string mHost;
  std::string mPathPrefix;
  dispatch::QueueSpec mQueue;
};

/// Limits on what clients may send.
struct ClientLimits
{
  std::uint32_t mHeaderBytes = 16384;
  std::uint64_t mBodyBytes = 262144;
  Millis mRequestTimeout{ 3000 };
  Millis mIdleTimeout{ 15000 };
};

/// The operator's configuration.
struct Configuration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  ClientLimits mLimits;
};

/// All that the operator asks for, as of one reading.
struct OperatorState
{
  std::optional<Configuration> mConfiguration;
  std::vector<std::string> mEvacuatedDataCentres;
  std::size_t mBytes = 0; ///< Size of what has changed; 0: nothing.
};

/// Readings of what the operator and the runners publish. A handler gets
/// nothing if the reading failed.
struct DirectoryPort
{
  /// Answers at the next change, or after a while without one.
  std::function<void(std::function<void(std::optional<OperatorState>)>)>
    mReadOperator;
  std::function<void(
    std::function<void(std::optional<std::vector<dispatch::RunnerSpec>>)>)>
    mReadRunners;
};

/// @return the route with the longest matching prefix, or null
const Route*
FindRoute(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath);

} // namespace paddle
