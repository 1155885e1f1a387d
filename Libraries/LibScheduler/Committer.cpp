#include <LibScheduler/Committer.h>

#include <algorithm>

#include <LibBase/Log.h>
#include <LibLease/LeaseRowText.h>
#include <LibScheduler/JobRows.h>

namespace paddle {

namespace {

/// Bounds the memory of a store outage; then submits are refused.
constexpr std::size_t kRingSize = 20000;

/// Rows in one transaction.
constexpr std::size_t kGroupSize = 64;

constexpr Millis kRetryPause{ 200 };

bool
IsService(const CommitItem& aItem)
{
  return aItem.mCommit.mRow.mSpec.mClass == TaskClass::Service;
}

void
AddWrites(TableTransaction& aTransaction, const CommitItem& aItem)
{
  const JobRow& row = aItem.mCommit.mRow;
  const std::string& job = row.mSpec.mJob;
  const bool terminal = IsTerminal(row.mPhase);
  // The row of a job that is done is deleted, so that a takeover reads only
  // the jobs that still matter; its id keeps how it ended.
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
  , mItems(kRingSize)
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
  ++mPending;
  const PushResult result = mItems.TryPush(std::move(aItem));
  if (result != PushResult::Accepted) {
    --mPending;
  }
  return result;
}

bool
Committer::Idle() const
{
  return mPending == 0;
}

void
Committer::Run()
{
  constexpr Millis kWait{ 100 };
  while (!mStopping) {
    std::optional<CommitterItem> item =
      mNext ? std::move(mNext) : mItems.Pop(kWait);
    mNext.reset();
    if (!item) {
      continue;
    }
    if (auto* commit = std::get_if<CommitItem>(&*item)) {
      auto group = CollectGroup(std::move(*commit));
      const std::size_t size = group.size();
      Perform(std::move(group));
      mPending -= size;
    } else if (auto* move = std::get_if<MoveItem>(&*item)) {
      Perform(*move);
      --mPending;
    } else {
      Perform(std::get<LoadItem>(*item));
      --mPending;
    }
  }
}

/// Takes the commits that are waiting for the same shard.
std::vector<CommitItem>
Committer::CollectGroup(CommitItem aFirst)
{
  std::vector<CommitItem> group;
  group.push_back(std::move(aFirst));
  while (group.size() < kGroupSize) {
    std::optional<CommitterItem> item = mItems.Pop(Micros(0));
    if (!item) {
      break;
    }
    auto* commit = std::get_if<CommitItem>(&*item);
    if (!commit || commit->mShard != group.front().mShard ||
        commit->mEpoch != group.front().mEpoch) {
      mNext = std::move(item);
      break;
    }
    group.push_back(std::move(*commit));
  }
  return group;
}

Outcome<std::optional<std::uint64_t>>
Committer::FenceOf(const std::string& aShard, std::uint64_t aEpoch)
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
  bool repeated = false;
  while (!aGroup.empty() && !mStopping) {
    const std::size_t before = aGroup.size();
    aGroup = CommitGroup(std::move(aGroup), repeated);
    repeated = true;
    if (aGroup.size() == before) {
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

std::vector<CommitItem>
Committer::CommitGroup(std::vector<CommitItem> aGroup, bool aRepeated)
{
  const CommitItem& first = aGroup.front();
  const auto fence = FenceOf(first.mShard, first.mEpoch);
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
      const auto replaceable = mReplaceable.find(key);
      transaction.mConditions.push_back(
        { key, replaceable == mReplaceable.end() ? 0 : replaceable->second });
    }
    AddWrites(transaction, item);
  }
  const TransactResult result = mPorts.mTable.mTransact(transaction);
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    return HandleConflict(std::move(aGroup), *conflict, aRepeated);
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
    Answer(item, CommitState::Committed, {});
  }
  return {};
}

std::vector<CommitItem>
Committer::HandleConflict(std::vector<CommitItem> aGroup,
                          const Conflict& aConflict,
                          bool aRepeated)
{
  mPorts.mMetrics->Count("commit_conflicts");
  mFences.erase(aGroup.front().mShard);
  std::vector<CommitItem> left;
  for (CommitItem& item : aGroup) {
    const std::string key = JobIdKey(item.mCommit.mRow.mSpec.mJob);
    const TableRow* row =
      item.mCommit.mMustNotExist ? FindRow(aConflict, key) : nullptr;
    if (!row) {
      left.push_back(std::move(item));
      continue;
    }
    const auto holder = ParseJobIdRow(row->mValue);
    const std::string shard =
      Succeeded(holder) ? ValueOf(holder).mShard : std::string();
    const bool open =
      !Succeeded(holder) || ValueOf(holder).mState == "accepted";
    if (IsService(item) && !open) {
      // A service task that was cancelled is wanted again. It counts its
      // attempts on, because outcomes of earlier ones may still be reported.
      item.mCommit.mRow.mAttempt =
        Succeeded(holder) ? ValueOf(holder).mAttempt + 1 : 0;
      mReplaceable[key] = row->mVersion;
      left.push_back(std::move(item));
    } else if (aRepeated && shard == item.mShard && open) {
      // An earlier try of this very commit took effect.
      Answer(item, CommitState::Committed, {});
    } else {
      Answer(item, CommitState::Refused, shard);
    }
  }
  return left;
}

void
Committer::Perform(const MoveItem& aMove)
{
  const std::string& job = aMove.mRow.mSpec.mJob;
  MovedEvent moved{ aMove.mShard, aMove.mEpoch, job, MoveResult::Failed };
  while (!mStopping) {
    const auto fence = FenceOf(aMove.mShard, aMove.mEpoch);
    if (Succeeded(fence) && !ValueOf(fence)) {
      return; // The new owner has the job.
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
        Answer(moved);
        return;
      }
      mFences.erase(aMove.mShard);
    }
    // An unknown effect must be settled before the job may start here.
    std::this_thread::sleep_for(kRetryPause);
  }
}

void
Committer::Perform(const LoadItem& aLoad)
{
  const auto rows = mPorts.mTable.mScan(JobPrefix(aLoad.mShard));
  if (!Succeeded(rows)) {
    return; // The placement thread asks again.
  }
  RowsEvent event{ aLoad.mShard, aLoad.mEpoch, {} };
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
  Answer(event);
}

void
Committer::Answer(const CommitItem& aItem,
                  CommitState aState,
                  const std::string& aHolder)
{
  Answer(CommittedEvent{ aItem.mShard,
                         aItem.mEpoch,
                         aItem.mCommit.mRow.mSpec.mJob,
                         aItem.mCommit.mSequence,
                         aItem.mCommit.mRow.mAttempt,
                         aState,
                         aHolder });
}

void
Committer::Answer(const SchedulerEvent& aEvent)
{
  // A result must arrive, so a full ring is waited for. The placement thread
  // never waits for this one.
  while (!mStopping) {
    if (mEvents.TryPush(aEvent) != PushResult::Full) {
      return;
    }
    std::this_thread::sleep_for(Millis(1));
  }
}

} // namespace paddle
