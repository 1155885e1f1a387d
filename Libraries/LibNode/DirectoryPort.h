#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/JobSpec.h>
#include <LibDispatch/Runner.h>
#include <LibNode/OperatorRelay.h>
#include <LibNode/StorePort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Assigns client requests to a queue by host name and path prefix.
struct Route
{
  std::string mHost;
  std::string mPathPrefix;
  dispatch::QueueSpec mQueue;
  bool mPublic = false; ///< Requests need no key of a client account.
};

/// A client account, whose clients prove themselves by one of its keys.
struct ClientAccount
{
  std::vector<std::string> mKeys;
  dispatch::AccountSpec mSpec;
};

/// Limits on what clients may send.
struct ClientLimits
{
  std::uint32_t mHeaderBytes = 16384;
  std::uint64_t mBodyBytes = 262144;
  Millis mRequestTimeout{ 3000 };
  Millis mIdleTimeout{ 15000 };
};

/// The configuration that the operator has published.
struct Configuration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ClientAccount> mAccounts;
  ClientLimits mLimits{};
};

/// Everything that the operator has published, as of one read.
struct OperatorState
{
  std::optional<Configuration> mConfiguration;
  /// Data centres out of service: no task may be started there.
  std::vector<std::string> mEvacuatedDataCentres;
  /// Size of what has changed since the read before; 0: nothing changed.
  std::size_t mChangedBytes = 0;
  std::size_t mCopyBytes = 0; ///< Size of all rows of this node's copy.
  /// Bytes of the answers that have arrived, also if the read failed.
  std::size_t mReceivedBytes = 0;
  /// Longest time until the first byte that a failed read had; 0: not known.
  Millis mFirstByteTimeout{ 0 };
};

/// Receives the operator's state, which is empty but for mReceivedBytes and
/// mFirstByteTimeout unless the result is Read.
using OperatorStateHandler = std::function<void(ReadResult, OperatorState)>;

/// How long one call waits for changes of the operator's table. It bounds the
/// time until a silent connection is noticed (see kChangeWaitMargin of the
/// store's client), and costs 0.8 calls a second at each node.
inline constexpr Millis kOperatorChangeWait{ 1200 };

/// Reads what the operator and the runners publish.
struct DirectoryPort
{
  /// Reads from the store. Calls its handler at the next change, or after
  /// @p aWait without a change. After HistoryGone, the next call reads all
  /// rows.
  std::function<void(Millis aWait, OperatorStateHandler)> mReadOperatorState;
  /// @return the rows of this node's copy that have changed after a store
  ///         version, or the whole copy if that is not known. Only the version
  ///         if the copy is not newer.
  std::function<OperatorRows(std::int64_t aAfter)> mOperatorRowsAfter;
  /// Updates this node's copy with rows of a peer; does nothing if they are not
  /// newer.
  /// @return the operator's state after that
  std::function<OperatorState(const OperatorRows&)> mApplyOperatorRows;
  /// Reads the list of all runners, of every shard, from service discovery. The
  /// handler gets no value if the read failed.
  std::function<void(
    std::function<void(std::optional<std::vector<dispatch::RunnerSpec>>)>)>
    mReadRunners;
};

/// @param aHost host name in the client's request
/// @param aPath path in the client's request
/// @return the route of that host with the longest matching path prefix, or
///         null if none matches
const Route*
FindRoute(const Configuration& aConfiguration,
          std::string_view aHost,
          std::string_view aPath);

} // namespace paddle
