#pragma once

#include <string_view>

#include <LibDispatch/JobSpec.h>

namespace paddle::dispatch {

struct Dispatcher;

/// What the tasks of a client account take that may be running on the shard's
/// runners: in the phases Starting, Running and Stopping.
struct AccountUse
{
  /// Without the processors of best-effort tasks, which reserve none.
  Resources mReserved{};
  std::int64_t mBestEffortMilliCores = 0; ///< Demanded by best-effort tasks.

  bool operator==(const AccountUse&) const = default;
};

/// @return what counts towards the account's cap: reserved and best-effort
///         processors together, memory and accelerators
Resources
CappedUse(const AccountUse& aUse);

/// @return the use of an account; nothing if it has no job
AccountUse
UseOf(const Dispatcher& aDispatcher, std::string_view aAccount);

} // namespace paddle::dispatch
