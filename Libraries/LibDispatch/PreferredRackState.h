#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <LibDispatch/Job.h>
#include <LibDispatch/PlacementWait.h>

namespace paddle::dispatch {

/// What is known of the runners of a service in one rack. All but mEnds is
/// summarized once in a placement pass.
struct RackSummary
{
  RoomEnds mEnds;
  std::uint64_t mPass = 0; ///< Pass of the rest; 0 if there was none.
  /// The runners that can take tasks, now or when they have room.
  std::vector<RunnerIndex> mRunners{};
  /// Largest capacity among them, for each resource.
  Resources mLargest{};
  /// Expected end of the run that ends first; nothing if no run there will end,
  /// or if it has not been asked for.
  std::optional<MonotonicTime> mEarliestEnd{};
  bool mEarliestEndKnown = false;
  /// Demand of the tasks that wait for the rack and were looked at in this
  /// pass, by Reservation.
  std::array<Resources, 2> mAhead{};
  /// RoomRate() for tasks of the step that was asked for last.
  const StepSpec* mRateOf = nullptr;
  double mRoomRate = 0;
  /// Steps for whose tasks no candidate in the rack has room.
  std::vector<const StepSpec*> mFull{};
};

/// Bounds the number of log lines of an event.
struct LineBudget
{
  MonotonicTime mSecondBegan;
  std::uint32_t mLines = 0; ///< In this second.
  std::uint64_t mSuppressed = 0;
};

/// What is known of a service's runners that can take tasks.
struct ServiceSummary
{
  std::map<std::string, RackSummary> mRacks;
  // As of the present placement pass.
  std::int64_t mTotalMilliCores = 0;
  std::int64_t mReservedMilliCores = 0;
  std::int64_t mBestEffortMilliCores = 0; ///< Demanded by best-effort tasks.
};

/// State of the tasks' waits for their preferred racks that is not that of a
/// single task.
struct PreferredRackState
{
  std::map<std::string, ServiceSummary> mServices;
  std::uint64_t mPass = 0;  ///< Number of the present placement pass.
  bool mSummarized = false; ///< Whether the racks are summarized in this pass.
  /// Runner that had room for a task outside its preferred rack in this pass.
  RunnerIndex mAlternative = kNoRunner;
  LineBudget mBegunLines;
  LineBudget mEndedLines;
};

} // namespace paddle::dispatch
