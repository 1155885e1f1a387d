#include <LibScheduler/Committer.h>

#include <algorithm>

#include <LibBase/Log.h>
#include <LibLease/LeaseRowText.h>
#include <LibScheduler/JobRows.h>

namespace paddle {

namespace {

/// Items that may wait for the commit thread. The limit bounds the memory that
/// they take while the table service is unavailable; beyond it, submits are
/// refused.
constexpr std::size_t kItemRingCapacity = 20000;

/// The most job rows that one transaction writes.
constexpr std::size_t kMaxCommitsPerTransaction = 64;

/// Pause before a transaction that failed is tried again.
constexpr Millis kRetryDelay{ 200 };

bool
IsService(const CommitItem& aItem)
{
  return aItem.mCommit.mRow.mSpec.mClass == TaskClass::Service;
}

/// Adds the writes of the job row, and of the job id row if the job is new or
/// done.
void
AddWrites(TableTransaction& aTransaction, const CommitItem& aItem)
{
  const JobRow& row = aItem.mCommit.mRow;
  const std::string& job = row.mSpec.mJob;
  const bool terminal = IsTerminal(row.mPhase);
  // The row of a job that is done is deleted, so that a takeover reads only
  // unfinished jobs. The job id row keeps how the job ended.
  aTransaction.mWrites.push_back(
    { JobKey(aItem.mShard, job),
      terminal ? std::nullopt : std::optional<std::string>(JobRowText(row)) });
  if (terminal || aItem.mCommit.mMustNotExist) {
    const char* state = terminal ? PhaseName(row.mPhase) : "accepted";
    aTransaction.mWrites.push_back(
      { JobIdKey(job),
        JobIdRowText({ aItem.mShard, state, row.mReason, row.mAttempt }) });
  }
}

/// @return the row with the key among those whose conditions failed, or null
const TableRow*
FindRow(const Conflict& aConflict, const std::string& aKey)
{
  const auto found =
    std::find_if(aConflict.mRows.begin(),
                 aConflict.mRows.end(),
                 [&](const TableRow& aRow) { return aRow.mKey == aKey; });
  return found == aConflict.mRows.end() ? nullptr : &*found;
}

} // namespace

Committer::Committer(const SchedulerPorts& aPorts, SchedulerRing& aEvents)
  : mPorts(aPorts)
  , mEvents(aEvents)
  , mItems(kItemRingCapacity)
  , mThread([this] { Run(); })
{
}

Committer::~Committer()
{
  Stop();
}

void
Committer::Stop()
{
  mStopping = true;
  mItems.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

PushResult
Committer::TryPush(CommitterItem aItem)
{
  ++mPendingItems;
  const PushResult result = mItems.TryPush(std::move(aItem));
  if (result != PushResult::Accepted) {
    --mPendingItems;
  }
  return result;
}

bool
Committer::Idle() const
{
  return mPendingItems == 0;
}

void
Committer::Run()
{
  // How long the thread waits for an item before it checks whether to stop.
  constexpr Millis kMaxWait{ 100 };
  while (!mStopping) {
    std::optional<CommitterItem> item =
      mDeferredItem ? std::move(mDeferredItem) : mItems.Pop(kMaxWait);
    mDeferredItem.reset();
    if (!item) {
      continue;
    }
    if (auto* commit = std::get_if<CommitItem>(&*item)) {
      auto group = CollectGroup(std::move(*commit));
      const std::size_t size = group.size();
      Perform(std::move(group));
      mPendingItems -= size;
    } else if (auto* move = std::get_if<MoveItem>(&*item)) {
      Perform(*move);
      --mPendingItems;
    } else {
      Perform(std::get<LoadItem>(*item));
      --mPendingItems;
    }
  }
}

std::vector<CommitItem>
Committer::CollectGroup(CommitItem aFirst)
{
  std::vector<CommitItem> group;
  group.push_back(std::move(aFirst));
  while (group.size() < kMaxCommitsPerTransaction) {
    std::optional<CommitterItem> item = mItems.Pop(Micros(0));
    if (!item) {
      break;
    }
    auto* commit = std::get_if<CommitItem>(&*item);
    if (!commit || commit->mShard != group.front().mShard ||
        commit->mEpoch != group.front().mEpoch) {
      mDeferredItem = std::move(item);
      break;
    }
    group.push_back(std::move(*commit));
  }
  return group;
}

Outcome<std::optional<std::uint64_t>>
Committer::FenceVersion(const std::string& aShard, std::uint64_t aEpoch)
{
  const auto known = mFences.find(aShard);
  if (known != mFences.end() && known->second.mEpoch == aEpoch) {
    return std::optional(known->second.mVersion);
  }
  const std::string key = "shard/" + aShard;
  const auto rows = mPorts.mTable.mRead(std::span(&key, 1));
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  const TableRow& row = ValueOf(rows).at(0);
  const auto record = ParseShardRecord(row.mValue);
  if (!Succeeded(record)) {
    return ErrorOf(record);
  }
  if (ValueOf(record).mEpoch != aEpoch) {
    return std::optional<std::uint64_t>();
  }
  mFences[aShard] = { aEpoch, row.mVersion };
  return std::optional(row.mVersion);
}

void
Committer::Perform(std::vector<CommitItem> aGroup)
{
  bool isRetry = false;
  while (!aGroup.empty() && !mStopping) {
    const std::size_t sizeBefore = aGroup.size();
    aGroup = CommitGroup(std::move(aGroup), isRetry);
    isRetry = true;
    if (aGroup.size() == sizeBefore) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

std::vector<CommitItem>
Committer::CommitGroup(std::vector<CommitItem> aGroup, bool aIsRetry)
{
  const CommitItem& first = aGroup.front();
  const auto fence = FenceVersion(first.mShard, first.mEpoch);
  if (!Succeeded(fence)) {
    mPorts.mMetrics->Count("commit_failures");
    return aGroup;
  }
  if (!ValueOf(fence)) {
    LogEvent(LogLevel::Warning,
             "commit_without_ownership",
             { { "shard", first.mShard }, { "epoch", first.mEpoch } });
    return {};
  }
  TableTransaction transaction;
  transaction.mConditions.push_back(
    { "shard/" + first.mShard, *ValueOf(fence) });
  for (const CommitItem& item : aGroup) {
    if (item.mCommit.mMustNotExist) {
      const std::string key = JobIdKey(item.mCommit.mRow.mSpec.mJob);
      const auto replaceable = mReplaceableVersions.find(key);
      transaction.mConditions.push_back(
        { key,
          replaceable == mReplaceableVersions.end() ? 0
                                                    : replaceable->second });
    }
    AddWrites(transaction, item);
  }
  const TransactResult result = mPorts.mTable.mTransact(transaction);
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    return HandleConflict(std::move(aGroup), *conflict, aIsRetry);
  }
  if (const auto* error = std::get_if<Error>(&result)) {
    mPorts.mMetrics->Count("commit_failures");
    LogEvent(
      LogLevel::Warning, "commit_failed", { { "why", error->mMessage } });
    return aGroup;
  }
  mPorts.mMetrics->Count("commits");
  mPorts.mMetrics->Count("commit_rows", aGroup.size());
  for (const CommitItem& item : aGroup) {
    PushCommitResult(item, CommitResult::Committed, {});
  }
  return {};
}

std::vector<CommitItem>
Committer::HandleConflict(std::vector<CommitItem> aGroup,
                          const Conflict& aConflict,
                          bool aIsRetry)
{
  mPorts.mMetrics->Count("commit_conflicts");
  mFences.erase(aGroup.front().mShard);
  std::vector<CommitItem> remaining;
  for (CommitItem& item : aGroup) {
    const std::string key = JobIdKey(item.mCommit.mRow.mSpec.mJob);
    const TableRow* row =
      item.mCommit.mMustNotExist ? FindRow(aConflict, key) : nullptr;
    if (!row) {
      remaining.push_back(std::move(item));
      continue;
    }
    const auto holder = ParseJobIdRow(row->mValue);
    const std::string shard =
      Succeeded(holder) ? ValueOf(holder).mShard : std::string();
    const bool unfinished =
      !Succeeded(holder) || ValueOf(holder).mState == "accepted";
    if (IsService(item) && !unfinished) {
      // The configuration asks again for a service task that had been
      // cancelled. The attempt numbers go on from the earlier ones, because
      // outcomes of earlier attempts may still be reported.
      item.mCommit.mRow.mAttempt =
        Succeeded(holder) ? ValueOf(holder).mAttempt + 1 : 0;
      mReplaceableVersions[key] = row->mVersion;
      remaining.push_back(std::move(item));
    } else if (aIsRetry && shard == item.mShard && unfinished) {
      // An earlier try of this commit took effect, though its answer was lost.
      PushCommitResult(item, CommitResult::Committed, {});
    } else {
      PushCommitResult(item, CommitResult::JobExists, shard);
    }
  }
  return remaining;
}

void
Committer::Perform(const MoveItem& aMove)
{
  const std::string& job = aMove.mRow.mSpec.mJob;
  MoveResultEvent moved{ aMove.mShard, aMove.mEpoch, job, MoveResult::Failed };
  while (!mStopping) {
    const auto fence = FenceVersion(aMove.mShard, aMove.mEpoch);
    if (Succeeded(fence) && !ValueOf(fence)) {
      return; // Another process owns the shard and reads the job's row.
    }
    if (Succeeded(fence)) {
      TableTransaction transaction;
      transaction.mConditions = { { "shard/" + aMove.mShard,
                                    *ValueOf(fence) } };
      transaction.mWrites = {
        { JobKey(aMove.mShard, job), std::nullopt },
        { JobKey(aMove.mTarget, job), JobRowText(aMove.mRow) },
        { JobIdKey(job),
          JobIdRowText({ aMove.mTarget, "accepted", "", aMove.mRow.mAttempt }) }
      };
      const TransactResult result = mPorts.mTable.mTransact(transaction);
      if (std::holds_alternative<Committed>(result)) {
        mPorts.mMetrics->Count("jobs_moved");
        moved.mResult = MoveResult::Done;
        PushEvent(moved);
        return;
      }
      mFences.erase(aMove.mShard);
    }
    // The transaction is repeated until its effect is known, because a job that
    // may have moved must not start in this shard.
    std::this_thread::sleep_for(kRetryDelay);
  }
}

void
Committer::Perform(const LoadItem& aLoad)
{
  const auto rows = mPorts.mTable.mScan(JobPrefix(aLoad.mShard));
  if (!Succeeded(rows)) {
    return; // The placement thread repeats the read.
  }
  JobRowsEvent event{ aLoad.mShard, aLoad.mEpoch, {} };
  for (const TableRow& row : ValueOf(rows)) {
    const auto parsed = ParseJobRow(row.mValue);
    if (Succeeded(parsed)) {
      event.mRows.push_back(ValueOf(parsed));
    } else {
      LogEvent(LogLevel::Error,
               "job_row_malformed",
               { { "key", row.mKey }, { "why", ErrorOf(parsed).mMessage } });
    }
  }
  PushEvent(event);
}

void
Committer::PushCommitResult(const CommitItem& aItem,
                            CommitResult aResult,
                            const std::string& aHolder)
{
  PushEvent(CommitResultEvent{ aItem.mShard,
                               aItem.mEpoch,
                               aItem.mCommit.mRow.mSpec.mJob,
                               aItem.mCommit.mSequence,
                               aItem.mCommit.mRow.mAttempt,
                               aResult,
                               aHolder });
}

void
Committer::PushEvent(const SchedulerEvent& aEvent)
{
  // A result must not be lost, so this thread waits while the ring is full.
  // That can't deadlock, because the placement thread never waits for this
  // thread.
  while (!mStopping) {
    if (mEvents.TryPush(aEvent) != PushResult::Full) {
      return;
    }
    std::this_thread::sleep_for(Millis(1));
  }
}

} // namespace paddle
