#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <LibPlacement/Amount.h>
#include <LibPlacement/Job.h>
#include <LibTime/Time.h>

namespace paddle {

struct WorkerSpec
{
  std::string mName;
  std::string mDataCentre;
  std::string mRack;
  Amount mCapacity;
  bool mLeaving = false;
};

/// A moment on a worker's own clock. Commands carry the token of the latest
/// report, so a command that was delayed on its way is recognised.
struct WorkerToken
{
  std::uint64_t mBoot = 0; ///< Rises each time the worker starts.
  std::uint64_t mClockMs = 0;

  auto operator<=>(const WorkerToken&) const = default;
};

/// What is reserved on a worker for one attempt of a job. It outlives the
/// job, because the room is free only when the task surely runs no longer.
struct TaskSlot
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  Amount mDeclared;
  Amount mReserved;
  Amount mUsed; ///< As last reported.
  Team* mTeam = nullptr;
  TaskClass mClass = TaskClass::Batch;
  WorkerToken mToken; ///< Carried by the start.
  /// The worker's clock when it accepted the start, if the answer arrived.
  std::optional<std::uint64_t> mAcceptedClockMs;
  bool mReported = false;
  std::uint64_t mSeenIn = 0; ///< The latest report that listed it.
  std::string mCheckpoint;   ///< The latest one reported.
  Millis mSinceCheckpoint{ 0 };
  bool mThrottled = false;
  enum class Ending
  {
    No,
    Checkpoint, ///< A checkpoint was asked for; the stop follows it.
    Stop
  } mEnding = Ending::No;
  std::string mOldCheckpoint; ///< When the checkpoint was asked for.
  MonotonicTime mEndingSince; ///< When mEnding changed.
  MonotonicTime mCommandAt;   ///< When the latest command was issued.
};

/// Steps against interference on a worker, each including those before.
enum class InterferenceStep
{
  None,
  StopAdding,
  Throttle,
  Evict
};

struct Worker
{
  WorkerSpec mSpec;
  std::uint32_t mDataCentre = 0;        ///< Index in Shard::mDataCentres.
  std::uint32_t mPool = 0;              ///< Index in Shard::mPools.
  Amount mFree;                         ///< The capacity less all reservations.
  std::optional<std::int64_t> mPoolKey; ///< Set while in its pool.
  /// When the latest token was received; nothing before the first report.
  std::optional<MonotonicTime> mHeardAt;
  WorkerToken mToken;
  std::uint64_t mReports = 0; ///< Number of reports received.
  std::vector<TaskSlot> mSlots;
  std::vector<std::pair<std::string, std::uint32_t>> mAcknowledge;

  /// Different jobs that failed here in a row.
  std::vector<std::string> mFailedJobs;
  std::optional<MonotonicTime> mQuarantinedUntil;
  bool mOnProbation = false; ///< Gets one job at a time until one succeeds.
  Seconds mQuarantine{ 0 };

  /// The only job that may be placed here until mKeptUntil, if any.
  std::string mKeptFor;
  MonotonicTime mKeptUntil;

  InterferenceStep mStep = InterferenceStep::None;
  std::uint32_t mPressedReports = 0;
  std::uint32_t mCalmReports = 0;
};

} // namespace paddle
