#include <LibNode/ShardState.h>

#include <algorithm>

namespace paddle {

namespace {

/// @return the longest time that a lease lasts that is granted on the strength
///         of a renewal of the shard's lease
Millis
OrdinaryLease(const NodeSettings& aSettings)
{
  return dispatch::LongestDuration(aSettings.mDispatch,
                                   dispatch::LongestGrant(aSettings.mDispatch));
}

/// @return the longest time that any lease lasts which the deployment allows:
///         one of an owner of an earlier version, or one of a late order to a
///         former process of a runner, whose clock the present one doesn't
///         share
Millis
LongestAllowedLease(const NodeSettings& aSettings)
{
  return dispatch::LongestDuration(aSettings.mDispatch,
                                   aSettings.mDispatch.mMaxLease);
}

/// @return the longest time that a lease lasts that is granted on the strength
///         of the answers of a majority of the runners
Millis
IsolatedLease(const NodeSettings& aSettings)
{
  return dispatch::LongestDuration(aSettings.mDispatch,
                                   aSettings.mDispatch.mIsolatedLease);
}

} // namespace

void
ShardOwner::State::AssumeEarlierLeases(MonotonicTime aNow)
{
  const NodeSettings& settings = mContext.mSettings;
  if (mClaim.mEarlierOwner == EarlierOwner::None) {
    return;
  }
  const StoreClock& clock = mContext.mStoreClock;
  const std::int64_t endMs = mClaim.mCommonLeasesEndMs > 0
                               ? mClaim.mCommonLeasesEndMs
                               : mClaim.mLeasesEndMs;
  const std::optional<MonotonicTime> end =
    endMs > 0 ? TimeReached(clock, endMs) : std::nullopt;
  if (!end) {
    // An owner of an earlier version grants long leases until its own lease
    // ends, which counts from before its last renewal was seen.
    mEarlierLeasesEnd =
      LongestAllowedLease(settings) +
      (mClaim.mEarlierOwner == EarlierOwner::MayAct
         ? std::max(aNow, mClaim.mRowSeenAt + settings.mShardLeaseDuration)
         : aNow);
    return;
  }
  mEarlierLeasesEnd = *end;
  const auto reached = [&](std::int64_t aStoreMs) {
    return aStoreMs > 0 ? TimeReached(clock, aStoreMs).value_or(*end)
                        : MonotonicTime{};
  };
  for (const auto& [id, runnerEndMs] : mClaim.mRunnerLeasesEndMs) {
    mEarlierRunnerLeasesEnd[id] = reached(runnerEndMs);
  }
  mEarlierIsolatedLeasesEnd = reached(mClaim.mIsolatedLeasesEndMs);
  if (mClaim.mEarlierOwner != EarlierOwner::MayAct) {
    mEarlierIsolatedLeasesEnd =
      std::min(mEarlierIsolatedLeasesEnd, aNow + IsolatedLease(settings));
  }
  // Owners before that one may still act, whatever became of it.
  mEarlierIsolatedLeasesEnd = std::max(
    mEarlierIsolatedLeasesEnd, reached(mClaim.mEarlierIsolatedLeasesEndMs));
}

void
ShardOwner::State::UpdateEarlierLeases()
{
  mDispatcher.mEarlierLeasesUntil =
    std::max(mEarlierLeasesEnd, mEarlierIsolatedLeasesEnd) +
    mContext.mSettings.mDispatch.mLeaseExpiryMargin;
  mDispatcher.mEarlierOrdinaryLeasesUntil = mEarlierLeasesEnd;
}

void
ShardOwner::State::ApplyEarlierRunnerLeases()
{
  // A runner that is not in the list runs nothing: it was added before its
  // first task was started, and has left.
  std::erase_if(mEarlierRunnerLeasesEnd, [&](const auto& aEntry) {
    return !mDispatcher.mRunnerById.contains(aEntry.first);
  });
  for (const auto& [id, end] : mEarlierRunnerLeasesEnd) {
    mDispatcher.mRunners[mDispatcher.mRunnerById.find(id)->second]
      .mExtendedLeasesExpireAt =
      end + mContext.mSettings.mDispatch.mLeaseExpiryMargin;
  }
}

std::map<std::string, MonotonicTime>
ShardOwner::State::RunnerLeaseEnds() const
{
  const NodeSettings& settings = mContext.mSettings;
  std::map<std::string, MonotonicTime> ends;
  for (const auto& [id, end] : mEarlierRunnerLeasesEnd) {
    const auto runner = mDispatcher.mRunnerById.find(id);
    if (runner == mDispatcher.mRunnerById.end() ||
        mDispatcher.mRunners[runner->second].mInherited) {
      ends.emplace(id, end);
    }
  }
  for (dispatch::RunnerIndex i = 0; i < mDispatcher.mRunners.size(); ++i) {
    const dispatch::Runner& runner = mDispatcher.mRunners[i];
    // A late renewal for the former process of a runner may extend the leases
    // of the new one, until that rejects it. No task is started there before a
    // renewal of the shard is stored that was sent later.
    if (runner.mRestarts > 0 && !dispatch::HasLeft(mDispatcher, i)) {
      const MonotonicTime latest =
        runner.mTakesFormerOrders
          ? runner.mRestartSeenAt + settings.mLongestOrderDelay
          : runner.mFormerOrdersEndedAt;
      MonotonicTime& end = ends[runner.mSpec.mId];
      end = std::max(end, latest + LongestAllowedLease(settings));
    }
  }
  return ends;
}

void
ShardOwner::State::CountFencedRunner(dispatch::RunnerIndex aRunner,
                                     std::int64_t aIncarnation,
                                     MonotonicTime aNow)
{
  // If the runner has restarted, the listed process can't answer the earlier
  // owner any more, which counts only answers of that one.
  if (mMajorityFenced || aRunner >= mInheritedProcesses.size() ||
      mInheritedProcesses[aRunner].mIncarnation > aIncarnation) {
    return;
  }
  mFencedRunners.insert(aRunner);
  const std::set<dispatch::RunnerIndex>& first = mInheritedInFirstRow;
  const auto fencedInFirst = static_cast<std::size_t>(std::count_if(
    mFencedRunners.begin(),
    mFencedRunners.end(),
    [&](dispatch::RunnerIndex aIndex) { return first.contains(aIndex); }));
  // An earlier owner of an earlier version has counted those in the first row
  // only.
  if (mFencedRunners.size() <= mInheritedProcesses.size() / 2 ||
      (!first.empty() && fencedInFirst <= first.size() / 2)) {
    return;
  }
  mMajorityFenced = true;
  const NodeSettings& settings = mContext.mSettings;
  mEarlierIsolatedLeasesEnd =
    std::min(mEarlierIsolatedLeasesEnd,
             aNow + settings.mMajorityContactAge + IsolatedLease(settings));
  UpdateEarlierLeases();
  Log(LogLevel::Notice,
      "majority_fenced",
      "runners=" + std::to_string(mInheritedProcesses.size()) +
        " remaining_ms=" +
        std::to_string(std::chrono::duration_cast<Millis>(
                         mDispatcher.mEarlierLeasesUntil - aNow)
                         .count()));
}

MonotonicTime
ShardOwner::State::MajorityContact() const
{
  const auto contactAt = [&](const RunnerIncarnations& aRunners) {
    std::vector<dispatch::RunnerProcess> processes;
    processes.reserve(aRunners.size());
    for (const auto& [id, incarnation] : aRunners) {
      processes.push_back({ id, incarnation });
    }
    return dispatch::MajorityContactAt(mDispatcher, processes);
  };
  const auto contactOf = [&](const RunnerRows& aRows) {
    return std::min(contactAt(IncarnationsOf(aRows)),
                    contactAt(IncarnationsInFirstRow(aRows)));
  };
  MonotonicTime contact = contactOf(mRunnerRows);
  if (mStoringRunners && !mTransactions.empty()) {
    // A later owner may read the rows before or after the next transaction.
    RunnerRows next = mRunnerRows;
    ApplyChanges(next, mTransactions.front().mListChanges);
    contact = std::min(contact, contactOf(next));
  }
  return contact;
}

void
ShardOwner::State::UpdateLeaseLimit(MonotonicTime aNow)
{
  const NodeSettings& settings = mContext.mSettings;
  const auto age = std::chrono::duration_cast<Millis>(aNow - mRenewedAt);
  const bool frequent = age > settings.mFrequentContactAge;
  if (frequent && !mDispatcher.mFrequentContact) {
    for (RunnerRenewal& renewal : mRenewals) {
      renewal.mNextRenewalAt = std::min(renewal.mNextRenewalAt, aNow);
    }
  }
  mDispatcher.mFrequentContact = frequent;
  mDispatcher.mRenewedAt = mRenewedAt;
  mDispatcher.mLeaseLimit = mRenewedAt + OrdinaryLease(settings);
  mDispatcher.mStartsUntil = mRenewedAt + settings.mRenewalMaxAge;
  mDispatcher.mUncontestedUntil = mDispatcher.mStartsUntil;
  if (age > settings.mRenewalMaxAge) {
    const MonotonicTime contactEnds =
      MajorityContact() + settings.mMajorityContactAge;
    if (aNow < contactEnds) {
      mDispatcher.mLeaseLimit =
        std::max(mDispatcher.mLeaseLimit, aNow + IsolatedLease(settings));
      mDispatcher.mStartsUntil = contactEnds;
    }
  }
  const bool mayStart = aNow < mDispatcher.mStartsUntil;
  if (mayStart != mMayStartLogged) {
    mMayStartLogged = mayStart;
    Log(LogLevel::Notice,
        mayStart ? "starts_resumed" : "starts_paused",
        "renewal_age_ms=" + std::to_string(age.count()));
  }
}

void
ShardOwner::State::SetLeaseEnds(ShardRow& aRow, MonotonicTime aNow) const
{
  const NodeSettings& settings = mContext.mSettings;
  const StoreClock& clock = mContext.mStoreClock;
  // The leases of this owner, and those of earlier owners.
  MonotonicTime end =
    std::max(aNow + OrdinaryLease(settings), mEarlierLeasesEnd);
  MonotonicTime isolatedEnd =
    aNow + settings.mShardLeaseDuration + IsolatedLease(settings);
  MonotonicTime earlierIsolatedEnd = mEarlierIsolatedLeasesEnd;
  if (mMajorityFenced) {
    end = std::max(end, mEarlierIsolatedLeasesEnd);
    earlierIsolatedEnd = {};
  }
  if (mSteppingDown) {
    // No order is in flight or follows, so the leases that were granted count.
    end = mMajorityFenced
            ? std::max(mEarlierLeasesEnd, mEarlierIsolatedLeasesEnd)
            : mEarlierLeasesEnd;
    for (const dispatch::Runner& runner : mDispatcher.mRunners) {
      end = std::max(end, runner.mLeasesExpireAt);
    }
    isolatedEnd = {};
  }
  aRow.mCommonLeasesEndMs = LatestStoreTime(clock, end).value_or(0);
  for (const auto& [id, runnerEnd] : RunnerLeaseEnds()) {
    if (runnerEnd > end) {
      aRow.mRunnerLeasesEndMs.emplace(
        id, LatestStoreTime(clock, runnerEnd).value_or(0));
    }
  }
  aRow.mLeasesEndMs = aRow.mCommonLeasesEndMs;
  for (const auto& [id, runnerEndMs] : aRow.mRunnerLeasesEndMs) {
    aRow.mLeasesEndMs = std::max(aRow.mLeasesEndMs, runnerEndMs);
  }
  if (aRow.mLeasesEndMs == 0) {
    return; // The store's clock was never read.
  }
  if (isolatedEnd > aNow) {
    aRow.mIsolatedLeasesEndMs = LatestStoreTime(clock, isolatedEnd).value_or(0);
  }
  if (earlierIsolatedEnd > aNow) {
    aRow.mEarlierIsolatedLeasesEndMs =
      LatestStoreTime(clock, earlierIsolatedEnd).value_or(0);
  }
}

} // namespace paddle
