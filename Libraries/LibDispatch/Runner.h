#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <LibDispatch/Job.h>

namespace paddle::dispatch {

/// A runner as service discovery describes it.
struct RunnerSpec
{
  std::string mId;
  std::string mAddress;
  std::string mService;
  std::string mDataCentre;
  std::string mRack;
  std::vector<std::string> mLabels;
  Amount mCapacity;
  bool mDraining = false;
  Millis mColdRemaining{ 0 };
  std::int64_t mIncarnation = 0; ///< Unix milliseconds of its start.
};

/// A run that a runner may still have.
struct HeldRun
{
  TaskName mTask;
  std::int64_t mRun = 0;
};

/// A runner that an earlier owner used.
struct FormerRunner
{
  RunnerSpec mSpec;
  /// All that it may run, if the earlier owner recorded that while the runner
  /// was silent. Without a record it may run anything.
  std::optional<std::vector<HeldRun>> mHeld;
};

/// How a run ended, as the runner lists it.
enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed, ///< Its lease ended.
  Broken, ///< Another member of its gang ended.
  Alone   ///< Its gang did not assemble.
};

struct RunningEntry
{
  TaskName mTask;
  std::int64_t mRun = 0;
  std::string mSaved;
  std::int32_t mProgress = 0;
  std::int32_t mLoadFigure = 0;
};

struct EndEntry
{
  std::int64_t mNumber = 0;
  TaskName mTask;
  std::int64_t mRun = 0;
  EndKind mKind = EndKind::Stopped;
  std::string mSaved;
};

/// A runner's answer to a lease renewal.
struct RunnerReport
{
  std::int64_t mClockMs = 0; ///< The runner's steady clock.
  std::int64_t mIncarnation = 0;
  std::vector<RunningEntry> mRunning;
  std::vector<EndEntry> mEnds;
};

/// The tasks of one serving step on a runner, summed up for placement and pace.
struct ServingHere
{
  Step* mStep = nullptr;
  double mMeasured = 0; ///< Highest utilization by its tails.
  double mLimit = 1;    ///< Utilization to keep below, near the target's.
  double mAhead = 0;    ///< Own utilization expected soon.
  double mLater = 0;    ///< While a new neighbour would run.
  double mPresent = 0;  ///< Feared rise by all neighbours at full pace.
};

/// A run that no known task accounts for. Its size is unknown, so nothing is
/// started beside it until it has ended.
struct OrphanRun
{
  TaskName mTask;
  std::int64_t mRun = 0;
  std::string mSaved;
  MonotonicTime mStopSentAt;
};

enum class RunnerPhase : std::uint8_t
{
  Unheard, ///< Not heard from under this owner's epoch.
  Live,
  Lapsed, ///< Silent for longer than any lease; what it ran has ended.
};

struct Runner
{
  RunnerSpec mSpec;
  RunnerPhase mPhase = RunnerPhase::Unheard;
  bool mListed = false;            ///< Service discovery lists it.
  Amount mUsed;                    ///< By reserved tasks; memory by all.
  std::int64_t mLeftoverCores = 0; ///< Asked by tasks without reservation.
  std::int64_t mLastingCores = 0;  ///< Reserved by lasting tasks.
  std::uint32_t mLasting = 0;
  std::uint32_t mStarting = 0; ///< Starts without an answer so far.
  /// Serving images here, as of the present placement pass.
  std::vector<ServingHere> mServing;
  bool mStarved = false;
  bool mTailUnknown = false;   ///< A serving task has not reported yet.
  std::vector<TaskRef> mTasks; ///< Tasks Starting, Running or Stopping here.

  std::int64_t mClockMs = 0;        ///< In its latest answer.
  MonotonicTime mClockReadAt;       ///< When that answer was received.
  MonotonicTime mClockSentAt;       ///< When its request was sent.
  std::int64_t mHighestLeaseMs = 0; ///< Latest lease end ever sent to it.
  MonotonicTime mLapsesAt;          ///< When its leases have surely ended.
  /// A renewal got no answer. Nothing that could extend a lease is sent before
  /// the runner answers, or its tasks could never be given up.
  bool mSilent = false;
  MonotonicTime mSilentSince;
  /// A stored record says all that it may run, so nothing is started there
  /// until the record is removed.
  bool mRecorded = false;
  std::size_t mRecordedRuns = 0; ///< In that record; it only shrinks.
  /// An earlier owner used it, and this one has not heard from it.
  bool mFormer = false;
  std::optional<std::vector<HeldRun>> mHeld; ///< From such a record.

  std::int64_t mProcessedEnds = 0;    ///< Highest end number applied.
  std::int64_t mAcknowledgedEnds = 0; ///< Highest whose commit is stored.
  /// Ends applied and not yet stored: number, commit that stores it.
  std::deque<std::pair<std::int64_t, std::uint64_t>> mUnstoredEnds;

  std::vector<OrphanRun> mOrphans;

  MonotonicTime mPacedAt;
  MonotonicTime mLeftoverEndedAt; ///< When a task without reservation left.
  MonotonicTime mLearnedAt;       ///< When its tails were last learned from.

  std::uint32_t mConsecutiveFailures = 0;
  std::string mLastFailedJob;
  std::uint32_t mFailedJobs = 0; ///< Different jobs among these failures.
  std::uint32_t mQuarantines = 0;
  MonotonicTime mAvoidUntil; ///< No start before this.
  MonotonicTime mQuarantinedAt;
  bool mOnProbation = false; ///< At most one start at a time.
  MonotonicTime mMissingSince;
};

} // namespace paddle::dispatch
