#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// A call that waits for changes of the inbox ends after this time without a
/// change. The time is long enough that idle calls cost little, and short
/// enough that a connection that has fallen silent is noticed before a client
/// gives up, after 2.5 s.
constexpr Millis kInboxChangeTimeout{ 1200 };

/// Jobs that are older when an earlier owner's backlog is read count as having
/// arrived at the same time. The value only keeps times representable.
constexpr std::int64_t kLongestBacklogMs = 30LL * 24 * 3600 * 1000;

} // namespace

void
ShardOwner::State::ApplyInboxRows(std::span<const StoreRow> aRows,
                                  dispatch::PriorRuns aHistory)
{
  const auto order = [](const StoreRow& aRow) {
    const std::string_view key = aRow.mKey;
    return key.starts_with(kCancelPrefix)  ? 2
           : key.starts_with(kTasksPrefix) ? 1
                                           : 0;
  };
  for (const int present : { 0, 1, 2 }) {
    for (const StoreRow& row : aRows) {
      if (order(row) == present) {
        ApplyInboxRow(row, aHistory);
      }
    }
  }
}

void
ShardOwner::State::ApplyInboxRow(const StoreRow& aRow,
                                 dispatch::PriorRuns aHistory)
{
  const std::string_view key = aRow.mKey;
  const MonotonicTime now = mContext.Now();
  if (aRow.mRemoved) {
    return;
  }
  if (key.starts_with(kCancelPrefix)) {
    dispatch::Actions actions;
    dispatch::CancelJob(mDispatcher,
                        key.substr(std::string_view(kCancelPrefix).size()),
                        now,
                        actions);
    PerformActions(actions);
    return;
  }
  if (key.starts_with(kTasksPrefix)) {
    TakeTasks(aRow, aHistory);
    return;
  }
  if (!key.starts_with(kAcceptedPrefix) && !key.starts_with(kPartPrefix)) {
    return;
  }
  std::optional<AcceptedJob> job = ParseAcceptedJob(aRow.mValue);
  if (!job) {
    Log(LogLevel::Error, "unreadable_job", "key=" + aRow.mKey);
    return;
  }
  AddJob(aRow, std::move(*job), aHistory);
}

void
ShardOwner::State::AddJob(const StoreRow& aRow,
                          AcceptedJob aJob,
                          dispatch::PriorRuns aHistory)
{
  const MonotonicTime now = mContext.Now();
  const std::string id = aJob.mSpec.mId;
  const auto moved = mMovedJobs.find(id);
  if (mEndedJobs.contains(id) ||
      (moved != mMovedJobs.end() && aRow.mVersion <= moved->second)) {
    return;
  }
  const bool isPart = std::string_view(aRow.mKey).starts_with(kPartPrefix);
  if (isPart) {
    std::int64_t& version = mPartVersions[id];
    version = std::max(version, aRow.mVersion);
  }
  if (mDispatcher.mJobs.contains(id)) {
    return;
  }
  std::optional<dispatch::JobProgress> progress = std::move(aJob.mProgress);
  const auto stored = mStoredProgress.find(id);
  if (stored != mStoredProgress.end()) {
    progress = ParseProgress(stored->second);
  }
  // The clocks of hosts differ, so the age is limited to a plausible range.
  const std::int64_t ageByClockMs = UnixMs() - aJob.mAcceptedUnixMs;
  const std::int64_t ageMs = std::clamp<std::int64_t>(ageByClockMs, 0, 60000);
  dispatch::AddJob(mDispatcher,
                   std::move(aJob.mSpec),
                   progress ? &*progress : nullptr,
                   aHistory,
                   now - Millis(ageMs),
                   now);
  dispatch::Job& added = *mDispatcher.mJobs.find(id)->second;
  added.mMoves = aJob.mMoves;
  if (mStage == ShardStage::ReadingJobs) {
    // A backlog that is older than the limit above must not count as a burst
    // towards the entitlement of its account.
    added.mArrivedAt =
      now -
      Millis(std::clamp<std::int64_t>(ageByClockMs, 0, kLongestBacklogMs));
  }
  if (!isPart) {
    mUncheckedJobs.push_back(id);
  }
  Log(LogLevel::Info,
      isPart ? "part_taken" : "job_taken",
      "job=" + id + " age_ms=" + std::to_string(ageMs) +
        " version=" + std::to_string(aRow.mVersion));
}

void
ShardOwner::State::WaitForInboxChanges()
{
  auto self = shared_from_this();
  mContext.mStore.mWaitForChanges(
    InboxTable(mClaim.mShard),
    mInboxVersion,
    kInboxChangeTimeout,
    [self, sentAt = mContext.Now()](const ReadOutcome& aRead) {
      if (self->mOwnershipLost || self->mSteppingDown) {
        return;
      }
      if (aRead.mResult == ReadResult::HistoryGone) {
        self->Log(LogLevel::Info,
                  "inbox_history_gone",
                  "after=" + std::to_string(self->mInboxVersion));
        self->mInboxVersion = 0;
        self->ReadInbox();
        return;
      }
      if (aRead.mResult == ReadResult::Failed) {
        // No change is lost: the call is repeated for the same version.
        self->mContext.mDeadlines->Add(self->mContext.Now() +
                                         self->mContext.mSettings.mRetryPause,
                                       [self] { self->WaitForInboxChanges(); });
        return;
      }
      self->ApplyInboxRows(aRead.mRows, dispatch::PriorRuns::None);
      self->HoldWideJobs();
      self->mInboxVersion = std::max(self->mInboxVersion, aRead.mVersion);
      self->mInboxAsOfMs = std::max(self->mInboxAsOfMs, aRead.mClockMs);
      if (!aRead.mMore) {
        self->mDispatcher.mJobsKnownAsOf = sentAt;
      }
      self->WaitForInboxChanges();
      if (!aRead.mRows.empty() &&
          self->MayCommandRunners(self->mContext.Now())) {
        dispatch::Actions actions;
        self->Place(self->mContext.Now(), actions);
        self->PerformActions(actions);
      }
    });
}

} // namespace paddle
