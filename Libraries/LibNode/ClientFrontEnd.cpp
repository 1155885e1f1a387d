#include <LibNode/ClientFrontEnd.h>

#include <algorithm>
#include <optional>
#include <span>
#include <utility>
#include <xxhash.h>

#include <LibNode/RefusedRequest.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

namespace paddle {

namespace {

/// Difference of the times that two owners need to start what waits from which
/// on the quicker one gets a job. Rows are up to a second old.
constexpr std::int64_t kClearlyQuickerMs = 1000;

// FIXME: Status rows of ended jobs stay in the store. The owner of the shard
// should remove them 120 s after the end of the job, when no client asks any
// more.

/// Number of ended jobs whose status is kept here, so that it is answered
/// without a read of the store.
constexpr std::size_t kMaxRememberedStatuses = 20000;

/// @param aRows the rows that made a submission's check fail
/// @return the job's status row, or null if there is none
const StoreRow*
FindStatusRow(std::span<const StoreRow> aRows, std::string_view aJob)
{
  const auto row =
    std::find_if(aRows.begin(), aRows.end(), [&](const StoreRow& aRow) {
      return aRow.mTable == kStatusTable && aRow.mKey == aJob;
    });
  return row == aRows.end() ? nullptr : &*row;
}

/// @param aAccount account that the job belongs to; empty: none
/// @return Accepted if the caller may learn of the job or cancel it, otherwise
///         the answer to the request
ClientAnswer
CheckAccess(const Caller& aCaller, const std::string& aAccount)
{
  if (aAccount.empty() || aCaller.mAccess == JobAccess::All ||
      aCaller.mAccount == aAccount) {
    return ClientAnswer::Accepted;
  }
  return aCaller.mAccess == JobAccess::Undecided ? ClientAnswer::NotAccepted
                                                 : ClientAnswer::OtherAccount;
}

} // namespace

struct ClientFrontEnd::State : std::enable_shared_from_this<State>
{
  State(NodeContext& aContext, const ClusterView& aView)
    : mContext(aContext)
    , mView(aView)
  {
  }

  /// A job that is being stored.
  struct Submission
  {
    AcceptedJob mJob;
    std::uint32_t mShard = 0;
    MonotonicTime mDeadline;
    /// An earlier transaction got no answer, so "not accepted" could be wrong.
    bool mMayBeStored = false;
    /// Version of the tombstone that a cancellation has left; 0: there is none.
    std::int64_t mTombstoneVersion = 0;
    std::function<void(ClientAnswer)> mAnswer;
    Caller mCaller;
  };

  /// A cancellation that is being stored.
  struct Cancellation
  {
    std::string mJob;
    MonotonicTime mDeadline;
    std::function<void(ClientAnswer)> mAnswer;
    Caller mCaller;
  };

  /// @return the shard that is to run a job, or nothing if no shard is known
  std::optional<std::uint32_t> ChooseShard(const dispatch::JobSpec& aJob) const;
  /// Sends the transaction that stores a job, unless the job's id is known
  /// already. A job that was cancelled before is stored as cancelled.
  void SendSubmission(const std::shared_ptr<Submission>& aSubmission);
  void HandleSubmissionOutcome(const std::shared_ptr<Submission>& aSubmission,
                               const TransactionOutcome& aOutcome);
  /// Reads the status of a job that is to be cancelled.
  void ReadForCancel(const std::shared_ptr<Cancellation>& aCancellation);
  /// Stores that a job is cancelled of which the store knows nothing. A
  /// submission that got no answer may still be carried out, and its check
  /// fails then.
  void WriteTombstone(const std::shared_ptr<Cancellation>& aCancellation);
  /// Stores a cancellation.
  /// @param aStatus  the status of the job as read
  /// @param aVersion the version of its row
  void WriteCancel(const std::shared_ptr<Cancellation>& aCancellation,
                   JobStatus aStatus,
                   std::int64_t aVersion);
  /// Reads the status again after a delay, or answers Unavailable if the client
  /// would wait too long.
  void RetryCancel(const std::shared_ptr<Cancellation>& aCancellation);
  void CountSubmission(const std::string& aAccount, ClientAnswer aAnswer);
  /// Keeps the status of an ended job, which can't change any more.
  void RememberEndedJob(const std::string& aJob, const JobStatus& aStatus);
  void Log(std::string_view aEvent, const std::string& aFields);

  NodeContext& mContext;
  const ClusterView& mView;
  std::unordered_map<std::string, JobStatus> mEndedStatuses; ///< By job id.
  std::deque<std::string> mEndedOrder; ///< Their job ids, the oldest first.
};

void
ClientFrontEnd::State::Log(std::string_view aEvent, const std::string& aFields)
{
  mContext.mLog->Write(LogLevel::Info, aEvent, aFields, mContext.Now());
}

std::optional<std::uint32_t>
ClientFrontEnd::State::ChooseShard(const dispatch::JobSpec& aJob) const
{
  // Power of two choices: the job's id selects two shards, and the one is
  // chosen whose owner is clearly quicker to start tasks, or else the one with
  // the larger share of free capacity. The capacities are up to a second old;
  // if all shards were compared, all jobs of that second would go to the same
  // one.
  std::optional<std::uint32_t> best;
  double bestFreeShare = 0;
  std::int64_t bestWaitMs = 0;
  if (mView.mShardCount == 0) {
    return {};
  }
  const bool bestEffort =
    !aJob.mSteps.empty() &&
    aJob.mSteps[0].mReservation == dispatch::Reservation::BestEffort;
  for (std::uint64_t choice = 0; choice < 2; ++choice) {
    const auto shard = static_cast<std::uint32_t>(
      XXH64(aJob.mId.data(), aJob.mId.size(), choice) % mView.mShardCount);
    const auto row = mView.mShardRows.find(shard);
    if (row == mView.mShardRows.end()) {
      continue;
    }
    const ShardRow& known = row->second.mRow;
    const auto total =
      static_cast<double>(std::max<std::int64_t>(1, known.mTotalMilliCores));
    const double freeShare =
      static_cast<double>(bestEffort ? known.mBestEffortMilliCores
                                     : known.mFreeMilliCores) /
      total;
    const std::int64_t waitMs = known.mStartWaitMs;
    const bool alike = std::abs(waitMs - bestWaitMs) <= kClearlyQuickerMs;
    if (!best || (alike ? freeShare > bestFreeShare : waitMs < bestWaitMs)) {
      best = shard;
      bestFreeShare = freeShare;
      bestWaitMs = waitMs;
    }
  }
  return best;
}

void
ClientFrontEnd::State::SendSubmission(
  const std::shared_ptr<Submission>& aSubmission)
{
  const std::string& id = aSubmission->mJob.mSpec.mId;
  const bool cancelled = aSubmission->mTombstoneVersion != 0;
  const JobStatus status{ aSubmission->mShard,
                          aSubmission->mJob.mSpec.mQueue,
                          cancelled ? dispatch::JobPhase::Cancelled
                                    : dispatch::JobPhase::Active,
                          false,
                          /*mTombstone=*/false,
                          aSubmission->mJob.mSpec.mAccount };
  StoreTransaction transaction;
  const std::string partition = mContext.mPartitions.OfJob(id);
  transaction.mChecks.push_back(
    { kStatusTable, partition, id, aSubmission->mTombstoneVersion });
  transaction.mPuts.push_back(
    { kStatusTable, partition, id, FormatStatus(status) });
  if (!cancelled) {
    transaction.mPuts.push_back({ InboxTable(aSubmission->mShard),
                                  partition,
                                  kAcceptedPrefix + id,
                                  FormatAcceptedJob(aSubmission->mJob) });
  }
  auto self = shared_from_this();
  const auto left =
    std::chrono::duration_cast<Millis>(aSubmission->mDeadline - mContext.Now());
  mContext.mStore.mTransact(
    std::move(transaction),
    std::min(left, mContext.mSettings.mStoreTimeout),
    [self, aSubmission](const TransactionOutcome& aOutcome) {
      self->HandleSubmissionOutcome(aSubmission, aOutcome);
    });
}

void
ClientFrontEnd::State::HandleSubmissionOutcome(
  const std::shared_ptr<Submission>& aSubmission,
  const TransactionOutcome& aOutcome)
{
  const std::string& id = aSubmission->mJob.mSpec.mId;
  const auto finish = [&](ClientAnswer aAnswer, const char* aResult) {
    Log("submit",
        "job=" + id + " queue=" + aSubmission->mJob.mSpec.mQueue + " shard=" +
          std::to_string(aSubmission->mShard) + " result=" + aResult);
    CountSubmission(aSubmission->mJob.mSpec.mAccount, aAnswer);
    aSubmission->mAnswer(aAnswer);
  };
  switch (aOutcome.mResult) {
    case StoreResult::Stored:
      finish(ClientAnswer::Accepted, "accepted");
      return;
    case StoreResult::Conflict: {
      const StoreRow* row = FindStatusRow(aOutcome.mCurrent, id);
      const std::optional<JobStatus> status =
        row != nullptr ? ParseStatus(row->mValue) : std::nullopt;
      if (!status || !status->mTombstone) {
        const ClientAnswer answer = CheckAccess(
          aSubmission->mCaller, status ? status->mAccount : std::string());
        if (answer == ClientAnswer::Accepted) {
          finish(answer, "accepted_before");
        } else if (answer == ClientAnswer::OtherAccount) {
          finish(answer, "other_account");
        } else {
          // The job may be the caller's own, which was accepted before.
          finish(ClientAnswer::Unknown, "account_undecided");
        }
        return;
      }
      Log("submit", "job=" + id + " result=cancelled_before");
      aSubmission->mTombstoneVersion = row->mVersion;
      break;
    }
    case StoreResult::Rejected:
      // The transaction is not repeated, because it can't succeed. An earlier
      // one without an answer may nevertheless have been stored.
      finish(aSubmission->mMayBeStored ? ClientAnswer::Unknown
                                       : ClientAnswer::Rejected,
             "store_rejected");
      return;
    case StoreResult::NotApplied:
      if (!aSubmission->mMayBeStored) {
        finish(ClientAnswer::NotAccepted, "store_refused");
        return;
      }
      break;
    case StoreResult::Unknown:
      aSubmission->mMayBeStored = true;
      break;
  }
  const MonotonicTime next = mContext.Now() + mContext.mSettings.mRetryPause;
  if (next >= aSubmission->mDeadline) {
    finish(ClientAnswer::Unknown, "store_silent");
    return;
  }
  auto self = shared_from_this();
  mContext.mDeadlines->Add(
    next, [self, aSubmission] { self->SendSubmission(aSubmission); });
}

void
ClientFrontEnd::State::CountSubmission(const std::string& aAccount,
                                       ClientAnswer aAnswer)
{
  const bool refused = aAnswer == ClientAnswer::NotAccepted ||
                       aAnswer == ClientAnswer::Rejected ||
                       aAnswer == ClientAnswer::OtherAccount;
  if (aAccount.empty() || (!refused && aAnswer != ClientAnswer::Accepted)) {
    return;
  }
  // A name and its value are separated by a space on the page of metrics.
  std::string name = PrintableText(aAccount);
  std::replace(name.begin(), name.end(), ' ', '?');
  mContext.mMetrics->Count(
    (refused ? "account_refused_" : "account_accepted_") + name);
}

void
ClientFrontEnd::State::RememberEndedJob(const std::string& aJob,
                                        const JobStatus& aStatus)
{
  if (!mEndedStatuses.emplace(aJob, aStatus).second) {
    return;
  }
  mEndedOrder.push_back(aJob);
  if (mEndedOrder.size() > kMaxRememberedStatuses) {
    mEndedStatuses.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

void
ClientFrontEnd::State::RetryCancel(
  const std::shared_ptr<Cancellation>& aCancellation)
{
  const MonotonicTime next = mContext.Now() + mContext.mSettings.mRetryPause;
  if (next >= aCancellation->mDeadline) {
    Log("cancel", "job=" + aCancellation->mJob + " result=store_unavailable");
    aCancellation->mAnswer(ClientAnswer::Unavailable);
    return;
  }
  auto self = shared_from_this();
  mContext.mDeadlines->Add(
    next, [self, aCancellation] { self->ReadForCancel(aCancellation); });
}

void
ClientFrontEnd::State::ReadForCancel(
  const std::shared_ptr<Cancellation>& aCancellation)
{
  auto self = shared_from_this();
  const std::string& id = aCancellation->mJob;
  mContext.mStore.mRead(
    kStatusTable,
    mContext.mPartitions.OfJob(id),
    id,
    id + '\0',
    [self, aCancellation](ReadOutcome aRead) {
      if (aRead.mResult != ReadResult::Read) {
        self->RetryCancel(aCancellation);
        return;
      }
      if (aRead.mRows.empty()) {
        self->WriteTombstone(aCancellation);
        return;
      }
      const std::optional<JobStatus> status =
        ParseStatus(aRead.mRows[0].mValue);
      if (!status) {
        self->Log("unreadable_status", "job=" + aCancellation->mJob);
        aCancellation->mAnswer(ClientAnswer::Unavailable);
        return;
      }
      if (status->mTombstone) {
        self->Log("cancel", "job=" + aCancellation->mJob + " result=unknown");
        aCancellation->mAnswer(ClientAnswer::NoSuchJob);
        return;
      }
      const ClientAnswer access =
        CheckAccess(aCancellation->mCaller, status->mAccount);
      if (access != ClientAnswer::Accepted) {
        self->Log("cancel",
                  "job=" + aCancellation->mJob + " result=" +
                    (access == ClientAnswer::OtherAccount
                       ? "other_account"
                       : "account_undecided"));
        aCancellation->mAnswer(access);
        return;
      }
      if (status->mPhase != dispatch::JobPhase::Active) {
        aCancellation->mAnswer(ClientAnswer::Accepted);
        return;
      }
      self->WriteCancel(aCancellation, *status, aRead.mRows[0].mVersion);
    });
}

void
ClientFrontEnd::State::WriteTombstone(
  const std::shared_ptr<Cancellation>& aCancellation)
{
  const std::string& id = aCancellation->mJob;
  JobStatus status;
  status.mPhase = dispatch::JobPhase::Cancelled;
  status.mTombstone = true;
  StoreTransaction transaction;
  const std::string partition = mContext.mPartitions.OfJob(id);
  transaction.mChecks.push_back({ kStatusTable, partition, id, 0 });
  transaction.mPuts.push_back(
    { kStatusTable, partition, id, FormatStatus(status) });
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, aCancellation](const TransactionOutcome& aOutcome) {
      if (aOutcome.mResult != StoreResult::Stored) {
        // The next read shows whether the tombstone was stored or the job was
        // accepted in the meantime.
        self->RetryCancel(aCancellation);
        return;
      }
      self->Log("cancel", "job=" + aCancellation->mJob + " result=unknown");
      aCancellation->mAnswer(ClientAnswer::NoSuchJob);
    });
}

void
ClientFrontEnd::State::WriteCancel(
  const std::shared_ptr<Cancellation>& aCancellation,
  JobStatus aStatus,
  std::int64_t aVersion)
{
  const std::string& id = aCancellation->mJob;
  aStatus.mPhase = dispatch::JobPhase::Cancelled;
  StoreTransaction transaction;
  const std::string partition = mContext.mPartitions.OfJob(id);
  transaction.mChecks.push_back({ kStatusTable, partition, id, aVersion });
  transaction.mPuts.push_back(
    { kStatusTable, partition, id, FormatStatus(aStatus) });
  transaction.mPuts.push_back(
    { InboxTable(aStatus.mShard), partition, kCancelPrefix + id, "{}" });
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, aCancellation](const TransactionOutcome& aOutcome) {
      if (aOutcome.mResult != StoreResult::Stored) {
        // The next read shows whether the cancellation was stored or the job
        // has ended in the meantime.
        self->RetryCancel(aCancellation);
        return;
      }
      self->Log("cancel", "job=" + aCancellation->mJob + " result=accepted");
      aCancellation->mAnswer(ClientAnswer::Accepted);
    });
}

ClientFrontEnd::ClientFrontEnd(NodeContext& aContext, const ClusterView& aView)
  : mState(std::make_shared<State>(aContext, aView))
{
}

ClientFrontEnd::~ClientFrontEnd() = default;

void
ClientFrontEnd::Submit(dispatch::JobSpec aJob,
                       std::function<void(ClientAnswer)> aAnswer,
                       Caller aCaller)
{
  const std::optional<std::uint32_t> shard = mState->ChooseShard(aJob);
  if (!shard) {
    mState->Log("submit", "job=" + aJob.mId + " result=no_shard");
    CountSubmission(aJob.mAccount, ClientAnswer::NotAccepted);
    aAnswer(ClientAnswer::NotAccepted);
    return;
  }
  auto submission = std::make_shared<State::Submission>();
  submission->mJob = { std::move(aJob), UnixMs() };
  submission->mShard = *shard;
  submission->mDeadline =
    mState->mContext.Now() + mState->mContext.mSettings.mClientTimeout;
  submission->mAnswer = std::move(aAnswer);
  submission->mCaller = std::move(aCaller);
  mState->SendSubmission(submission);
}

void
ClientFrontEnd::Cancel(const std::string& aJob,
                       std::function<void(ClientAnswer)> aAnswer,
                       Caller aCaller)
{
  mState->ReadForCancel(
    std::make_shared<State::Cancellation>(State::Cancellation{
      aJob,
      mState->mContext.Now() + mState->mContext.mSettings.mClientTimeout,
      std::move(aAnswer),
      std::move(aCaller) }));
}

void
ClientFrontEnd::Status(const std::string& aJob,
                       std::function<void(StatusAnswer)> aAnswer,
                       Caller aCaller)
{
  const auto tell = [](const Caller& aTo,
                       const JobStatus& aStatus,
                       const std::function<void(StatusAnswer)>& aReceiver) {
    const ClientAnswer access = CheckAccess(aTo, aStatus.mAccount);
    aReceiver(access == ClientAnswer::Accepted ? StatusAnswer{ access, aStatus }
                                               : StatusAnswer{ access, {} });
  };
  const auto ended = mState->mEndedStatuses.find(aJob);
  if (ended != mState->mEndedStatuses.end()) {
    tell(aCaller, ended->second, aAnswer);
    return;
  }
  auto state = mState;
  mState->mContext.mStore.mRead(
    kStatusTable,
    mState->mContext.mPartitions.OfJob(aJob),
    aJob,
    aJob + '\0',
    [state,
     aJob,
     tell,
     caller = std::move(aCaller),
     answer = std::move(aAnswer)](ReadOutcome aRead) {
      if (aRead.mResult != ReadResult::Read) {
        state->Log("status", "job=" + aJob + " result=store_unavailable");
        answer({ ClientAnswer::Unavailable, {} });
        return;
      }
      if (aRead.mRows.empty()) {
        state->Log("status", "job=" + aJob + " result=unknown");
        answer({ ClientAnswer::NoSuchJob, {} });
        return;
      }
      const std::optional<JobStatus> status =
        ParseStatus(aRead.mRows[0].mValue);
      if (!status) {
        state->Log("unreadable_status", "job=" + aJob);
        answer({ ClientAnswer::Unavailable, {} });
        return;
      }
      if (status->mTombstone) {
        state->Log("status", "job=" + aJob + " result=cancelled_unknown");
        answer({ ClientAnswer::NoSuchJob, {} });
        return;
      }
      if (status->mPhase != dispatch::JobPhase::Active) {
        state->RememberEndedJob(aJob, *status);
      }
      tell(caller, *status, answer);
    });
}

void
ClientFrontEnd::CountSubmission(const std::string& aAccount,
                                ClientAnswer aAnswer)
{
  mState->CountSubmission(aAccount, aAnswer);
}

std::optional<std::uint64_t>
ClientFrontEnd::Pending(const std::string& aQueue) const
{
  const NodeContext& context = mState->mContext;
  const std::int64_t storeNowMs =
    LatestStoreTime(context.mStoreClock, context.Now()).value_or(0);
  const std::int64_t oldestMs =
    storeNowMs - context.mSettings.mMaxPendingAge.count();
  std::uint64_t pending = 0;
  for (const auto& [shard, row] : mState->mView.mShardRows) {
    // An earlier version of this program does not state the time.
    const std::int64_t asOfMs = row.mRow.mPendingAsOfMs;
    if (asOfMs != 0 && asOfMs < oldestMs) {
      return {};
    }
    const auto found = row.mRow.mPending.find(aQueue);
    if (found != row.mRow.mPending.end()) {
      pending += found->second;
    }
  }
  return pending;
}

} // namespace paddle
