#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <LibPlacement/Amount.h>
#include <LibPlacement/Job.h>
#include <LibPlacement/UsageModel.h>

namespace paddle {

/// What is known about one team in this shard.
struct Team
{
  std::string mName;
  Amount mQuota; ///< All zero: no document yet, the shard's capacity counts.
  Amount mUsed;
  /// Waiting jobs by age, per class.
  std::array<std::map<std::uint64_t, Job*>, kTaskClasses> mQueues;
  std::array<UsageModel, kTaskClasses> mUsage;
  double mEvictionsPerHour = 60;
  double mEvictionsLeft = 60;
  MonotonicTime mEvictionsAt;
};

} // namespace paddle
