#include <LibNode/JobRows.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// A follower's call ends after this without a change; long enough to cost
/// little, short enough that a silent connection is noticed.
constexpr Millis kFollowWait{ 3000 };

} // namespace

void
ShardHost::State::ApplyInboxRow(const StoreRow& aRow,
                                dispatch::PriorRuns aHistory)
{
  const std::string_view key = aRow.mKey;
  const MonotonicTime now = mContext.Now();
  if (aRow.mRemoved) {
    return;
  }
  if (key.starts_with(kCancelPrefix)) {
    dispatch::Actions actions;
    dispatch::CancelJob(
      mCore, key.substr(std::string_view(kCancelPrefix).size()), now, actions);
    Perform(actions);
    return;
  }
  if (!key.starts_with(kAcceptedPrefix)) {
    return;
  }
  std::optional<AcceptedJob> job = ParseAcceptedJob(aRow.mValue);
  if (!job) {
    Log(LogLevel::Error, "unreadable_job", "key=" + aRow.mKey);
    return;
  }
  if (mCore.mJobs.contains(job->mSpec.mId) ||
      mEndedJobs.contains(job->mSpec.mId)) {
    return;
  }
  const std::string id = job->mSpec.mId;
  std::optional<dispatch::JobProgress> progress;
  const auto stored = mStoredProgress.find(id);
  if (stored != mStoredProgress.end()) {
    progress = ParseProgress(stored->second);
  }
  // Clocks of hosts differ, so an age outside of this range is not believed.
  const std::int64_t age =
    std::clamp<std::int64_t>(UnixMs() - job->mAcceptedUnixMs, 0, 60000);
  dispatch::AddJob(mCore,
                   std::move(job->mSpec),
                   progress ? &*progress : nullptr,
                   aHistory,
                   now - Millis(age),
                   now);
  Log(LogLevel::Info,
      "job_taken",
      "job=" + id + " age_ms=" + std::to_string(age) +
        " version=" + std::to_string(aRow.mVersion));
}

void
ShardHost::State::FollowInbox()
{
  auto self = shared_from_this();
  mContext.mStore.mFollow(
    InboxTable(mClaim.mShard),
    mInboxVersion,
    kFollowWait,
    [self](const ReadOutcome& aRead) {
      if (self->mLost || self->mRetired) {
        return;
      }
      if (aRead.mResult == ReadResult::Forgotten) {
        self->Log(LogLevel::Info,
                  "inbox_history_gone",
                  "after=" + std::to_string(self->mInboxVersion));
        self->mInboxVersion = 0;
        self->ReadInbox();
        return;
      }
      if (aRead.mResult == ReadResult::Failed) {
        // Changes may have been missed only in time, not in order: the same
        // version is asked for again.
        self->mContext.mDeadlines->Add(self->mContext.Now() +
                                         self->mContext.mSettings.mRetryPause,
                                       [self] { self->FollowInbox(); });
        return;
      }
      for (const StoreRow& row : aRead.mRows) {
        self->ApplyInboxRow(row, dispatch::PriorRuns::None);
      }
      self->mInboxVersion = std::max(self->mInboxVersion, aRead.mVersion);
      self->FollowInbox();
      if (!aRead.mRows.empty() && self->MayAct(self->mContext.Now())) {
        dispatch::Actions actions;
        dispatch::PlaceWaiting(self->mCore, self->mContext.Now(), actions);
        self->Perform(actions);
      }
    });
}

} // namespace paddle
