#include <LibDispatch/PlacementOrder.h>

#include <algorithm>
#include <compare>
#include <map>
#include <string_view>
#include <tuple>

namespace paddle::dispatch {

namespace {

/// Multiple of its time objective after which the end of a job is worth
/// nothing.
constexpr int kWorthlessAfterObjectives = 3;

/// Place of a waiting step in the placement order; lower values come first.
struct PlacementRank
{
  /// Interrupted long-running tasks go before all priorities: their users are
  /// without service until they run again, and all of them together need no
  /// more than they used before.
  bool mNotInterrupted = true;
  /// Work within the entitlement of an account must not wait for surplus work
  /// of others, whatever their priorities.
  bool mSurplus = false;
  std::int32_t mPriority = 0;
  /// Keeps the surplus steps of an account adjacent; 0 for all other steps.
  std::size_t mAccount = 0;
  DeadlineOutlook mOutlook = DeadlineOutlook::InTime;
  std::size_t mIndex = 0; ///< In Dispatcher::mWaitingSteps.

  auto operator<=>(const PlacementRank&) const = default;
};

} // namespace

DeadlineOutlook
OutlookOf(const WaitingStep& aEntry, MonotonicTime aNow)
{
  if (aEntry.mKind == StepKind::LongRunning) {
    return DeadlineOutlook::InTime;
  }
  const Job& job = *aEntry.mJob;
  const auto objective =
    std::chrono::duration_cast<Millis>(aEntry.mSoftDeadline - job.mAcceptedAt);
  const Millis needed = StepOf(aEntry).mRemainingCriticalPath;
  if (aNow + needed <= aEntry.mSoftDeadline) {
    return DeadlineOutlook::InTime;
  }
  const bool worthwhile =
    aNow + needed <=
    aEntry.mSoftDeadline + objective * (kWorthlessAfterObjectives - 1);
  return worthwhile ? DeadlineOutlook::Late : DeadlineOutlook::Worthless;
}

bool
HasInterruptedTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry)
{
  if (aEntry.mKind != StepKind::LongRunning) {
    return false;
  }
  const std::vector<Task>& tasks = StepOf(aEntry).mTasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const Task& aTask) {
    return aTask.mPhase == TaskPhase::Waiting &&
           (aTask.mRun > 0 || aEntry.mJob->mMayHaveRunBefore) &&
           !MayRunUnseen(aDispatcher, aTask);
  });
}

void
UpdatePlacementOrder(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  LogShareWaits(aDispatcher, aNow);
  MarkSurplusJobs(aDispatcher);
  std::vector<WaitingStep> waiting(aDispatcher.mWaitingSteps.begin(),
                                   aDispatcher.mWaitingSteps.end());
  std::vector<PlacementRank> ranks;
  ranks.reserve(waiting.size());
  std::map<std::string_view, std::size_t> accounts;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    PlacementRank rank{ .mNotInterrupted =
                          !HasInterruptedTask(aDispatcher, waiting[i]),
                        .mPriority = waiting[i].mPriority,
                        .mOutlook = OutlookOf(waiting[i], aNow),
                        .mIndex = i };
    if (rank.mNotInterrupted && IsSurplus(aDispatcher, *waiting[i].mJob)) {
      rank.mSurplus = true;
      rank.mAccount =
        accounts.emplace(waiting[i].mJob->mSpec.mAccount, accounts.size() + 1)
          .first->second;
    }
    ranks.push_back(rank);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<WaitingStep>& ordered = aDispatcher.mPlacementOrder;
  std::vector<SurplusRange>& ranges = aDispatcher.mSurplusRanges;
  ordered.clear();
  ordered.reserve(waiting.size());
  ranges.clear();
  for (const PlacementRank& rank : ranks) {
    const WaitingStep& entry = waiting[rank.mIndex];
    if (rank.mSurplus) {
      const std::string& account = entry.mJob->mSpec.mAccount;
      if (ranges.empty() || ranges.back().mPriority != rank.mPriority ||
          ranges.back().mAccount != account) {
        ranges.push_back(
          { account, rank.mPriority, ordered.size(), ordered.size() });
      }
      ++ranges.back().mEnd;
    }
    ordered.push_back(entry);
  }
  aDispatcher.mPlacementOrderAt = aNow;
}

PlacementCursor::PlacementCursor(const Dispatcher& aDispatcher,
                                 MonotonicTime aNow)
  : mDispatcher(&aDispatcher)
  , mSurplusBegin(aDispatcher.mSurplusRanges.empty()
                    ? aDispatcher.mPlacementOrder.size()
                    : aDispatcher.mSurplusRanges.front().mBegin)
{
  if (!aDispatcher.mSurplusRanges.empty()) {
    mTotals = ShareTotalsOf(aDispatcher, aNow);
  }
}

bool
PlacementCursor::Queue::operator>(const Queue& aOther) const
{
  return std::tie(mShare, mRange) > std::tie(aOther.mShare, aOther.mRange);
}

void
PlacementCursor::UpdateShare(Queue& aQueue) const
{
  aQueue.mShare = WeightedShare(
    *mDispatcher, mDispatcher->mSurplusRanges[aQueue.mRange].mAccount, mTotals);
  aQueue.mStarts = mDispatcher->mCounters.mStarts;
}

const WaitingStep*
PlacementCursor::Next()
{
  if (mNext < mSurplusBegin) {
    return &mDispatcher->mPlacementOrder[mNext++];
  }
  return NextSurplus();
}

void
PlacementCursor::PutBack()
{
  if (!mLatest) {
    return;
  }
  Queue queue = *mLatest;
  mLatest.reset();
  if (mDispatcher->mCounters.mStarts == mStartsBefore ||
      !mDispatcher->mWaitingSteps.contains(
        mDispatcher->mPlacementOrder[queue.mNext])) {
    ++queue.mNext;
  }
  if (queue.mNext < mDispatcher->mSurplusRanges[queue.mRange].mEnd) {
    mQueues.push(queue);
  }
}

const WaitingStep*
PlacementCursor::NextSurplus()
{
  const std::vector<SurplusRange>& ranges = mDispatcher->mSurplusRanges;
  PutBack();
  while (true) {
    if (mQueues.empty()) {
      if (mNextRange == ranges.size()) {
        return nullptr;
      }
      const std::int32_t priority = ranges[mNextRange].mPriority;
      for (; mNextRange < ranges.size() &&
             ranges[mNextRange].mPriority == priority;
           ++mNextRange) {
        Queue queue{ .mRange = mNextRange, .mNext = ranges[mNextRange].mBegin };
        UpdateShare(queue);
        mQueues.push(queue);
      }
    }
    Queue queue = mQueues.top();
    mQueues.pop();
    // The account with the lowest share may have started tasks since then; a
    // share never falls within a pass.
    if (queue.mStarts != mDispatcher->mCounters.mStarts) {
      UpdateShare(queue);
      mQueues.push(queue);
      continue;
    }
    mLatest = queue;
    mStartsBefore = mDispatcher->mCounters.mStarts;
    mAtSurplus = true;
    return &mDispatcher->mPlacementOrder[queue.mNext];
  }
}

std::optional<TaskRef>
FirstStartableTask(const Dispatcher& aDispatcher, const WaitingStep& aEntry)
{
  const std::vector<Task>& tasks = StepOf(aEntry).mTasks;
  const auto task =
    std::find_if(tasks.begin(), tasks.end(), [&](const Task& aTask) {
      return aTask.mPhase == TaskPhase::Waiting &&
             !MayRunUnseen(aDispatcher, aTask);
    });
  if (task == tasks.end()) {
    return {};
  }
  return TaskRef{ aEntry.mJob,
                  aEntry.mOccurrence,
                  aEntry.mStep,
                  static_cast<std::uint32_t>(task - tasks.begin()) };
}

const QueueSpec*
FindStartableQueue(const Dispatcher& aDispatcher, const Job& aJob)
{
  return aJob.mTakenAt > aDispatcher.mUncontestedUntil
           ? nullptr
           : FindQueue(aDispatcher, aJob.mSpec.mQueue);
}

} // namespace paddle::dispatch
