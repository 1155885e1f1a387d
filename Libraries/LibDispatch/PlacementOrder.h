#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

/// Whether a job can still meet its soft deadline. Within a priority, this
/// decides about the placement order before the arrival of the job, because a
/// job that is late anyway must not make the next one late as well.
enum class DeadlineOutlook : std::uint8_t
{
  InTime,
  Late,     ///< The job can't meet its soft deadline any more.
  Worthless ///< The job can't end within three times its objective.
};

DeadlineOutlook
OutlookOf(const WaitingStep& aEntry, MonotonicTime aNow);

/// @return whether a task of a long-running step waits that has run before, and
///         that may be started
bool
HasInterruptedTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry);

/// Updates the order in which the waiting steps are placed: interrupted
/// long-running ones, those of jobs within the entitlement of their account,
/// and the surplus ones, see AccountShares.h. Without accounts, no job is
/// surplus.
void
UpdatePlacementOrder(Dispatcher& aDispatcher, MonotonicTime aNow);

/// Goes through the placement order. Among the surplus steps of a priority it
/// takes the next one of the account with the lowest dominant share relative to
/// its weight, by what is in use at that moment. Tasks that were started since
/// the previous step are included, so that the order holds within a pass; steps
/// that fit nowhere don't count.
class PlacementCursor
{
public:
  PlacementCursor(const Dispatcher& aDispatcher, MonotonicTime aNow);

  /// @return the next step, which may have ceased to wait, or null after the
  ///         last one. A surplus step of which a task has been started is
  ///         returned again when its account has the lowest share again.
  const WaitingStep* Next();

  /// @return whether the latest step is surplus. Only one of its tasks, or its
  ///         gang, should be placed before the next call of Next().
  [[nodiscard]] bool AtSurplus() const { return mAtSurplus; }

private:
  /// Surplus steps of an account and priority that are not placed yet.
  struct Queue
  {
    double mShare = 0;
    /// Starts of all jobs when mShare was computed.
    std::uint64_t mStarts = 0;
    std::size_t mRange = 0; ///< In Dispatcher::mSurplusRanges.
    std::size_t mNext = 0;  ///< In Dispatcher::mPlacementOrder.
    /// Accounts with the same share go in the order of their first steps.
    bool operator>(const Queue& aOther) const;
  };

  const WaitingStep* NextSurplus();
  /// Puts the account of the latest step back, without the step if it waits no
  /// more or nothing has been started.
  void PutBack();
  void UpdateShare(Queue& aQueue) const;

  const Dispatcher* mDispatcher;
  std::size_t mNext = 0; ///< In Dispatcher::mPlacementOrder.
  std::size_t mSurplusBegin;
  bool mAtSurplus = false;
  ShareTotals mTotals;
  std::size_t mNextRange = 0; ///< First one of the next priority.
  std::priority_queue<Queue, std::vector<Queue>, std::greater<>> mQueues;
  std::optional<Queue> mLatest;
  std::uint64_t mStartsBefore = 0; ///< When the latest step was returned.
};

/// @return the first task of the step that may be started, or nothing
std::optional<TaskRef>
FirstStartableTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry);

/// @return the queue of a job that this owner may start, or null
const QueueSpec*
FindStartableQueue(const Dispatcher& aDispatcher, const Job& aJob);

/// Steps whose tasks fit on no runner in this pass. Capacity only shrinks
/// during a pass, so a step of the same kind with a larger demand does not fit
/// either.
class UnplaceableRequests
{
public:
  /// @return whether the tasks of a step are known to fit on no runner
  [[nodiscard]] bool Covers(const StepSpec& aSpec,
                            const std::string& aService) const
  {
    return std::any_of(
      mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
        return aEntry.mSpec->mReservation == aSpec.mReservation &&
               aEntry.mSpec->mImage == aSpec.mImage &&
               *aEntry.mService == aService &&
               aEntry.mSpec->mDemand.mMilliCores <= aSpec.mDemand.mMilliCores &&
               aEntry.mSpec->mDemand.mMemoryMb <= aSpec.mDemand.mMemoryMb &&
               aEntry.mSpec->mDemand.mAccelerators <=
                 aSpec.mDemand.mAccelerators;
      });
  }

  /// Adds a step of which a task fitted on no runner.
  void Add(const StepSpec& aSpec, const std::string& aService)
  {
    // Where a label, a limit per runner or a gang was the reason, other steps
    // may still fit.
    if (aSpec.mRequiredLabel.empty() && aSpec.mMaxTasksPerRunner == 0 &&
        !aSpec.mGang) {
      mEntries.push_back({ &aSpec, &aService });
    }
  }

private:
  struct Entry
  {
    const StepSpec* mSpec = nullptr;
    const std::string* mService = nullptr;
  };
  std::vector<Entry> mEntries;
};

} // namespace paddle::dispatch
