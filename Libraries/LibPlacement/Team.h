#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <LibPlacement/Job.h>
#include <LibPlacement/ResourceVector.h>
#include <LibPlacement/UsageModel.h>

namespace paddle {

/// A team, which owns jobs and has a quota, as this shard knows it.
struct Team
{
  std::string mName;
  /// All zero until the team's document is known: the shard's capacity counts
  /// as the quota then.
  ResourceVector mQuota;
  ResourceVector mReserved; ///< Sum of the reservations of the team's tasks.
  /// Queued jobs by Job::mOrder, per class.
  std::array<std::map<std::uint64_t, Job*>, kTaskClasses> mQueues;
  std::array<UsageModel, kTaskClasses> mUsageModels;
  /// Eviction budget as a token bucket: its rate and size, the evictions left
  /// in it, and when it was last refilled.
  double mEvictionsPerHour = 60;
  double mEvictionsLeft = 60;
  MonotonicTime mEvictionsUpdatedAt;
};

} // namespace paddle
