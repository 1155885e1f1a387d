#include <LibNode/Front.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <xxhash.h>

#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

namespace paddle {

namespace {

// FIXME: Status rows of ended jobs stay in the store. Their owner should remove
// them once no client asks any more, 120 s after the end.

/// Ended jobs whose state is answered without asking the store.
constexpr std::size_t kRememberedStates = 20000;

} // namespace

struct Front::State : std::enable_shared_from_this<State>
{
  State(NodeContext& aContext, const ClusterView& aView)
    : mContext(aContext)
    , mView(aView)
  {
  }

  struct Submission
  {
    AcceptedJob mJob;
    std::uint32_t mShard = 0;
    MonotonicTime mUntil;
    bool mMayBeStored = false;
    std::function<void(ClientAnswer)> mAnswer;
  };

  struct Cancellation
  {
    std::string mJob;
    MonotonicTime mUntil;
    std::function<void(ClientAnswer)> mAnswer;
  };

  std::optional<std::uint32_t> ChooseShard(const dispatch::JobSpec& aJob) const;
  void Send(const std::shared_ptr<Submission>& aSubmission);
  void Handle(const std::shared_ptr<Submission>& aSubmission,
              const TransactionOutcome& aOutcome);
  void ReadForCancel(const std::shared_ptr<Cancellation>& aCancellation);
  void WriteCancel(const std::shared_ptr<Cancellation>& aCancellation,
                   JobStatus aStatus,
                   std::int64_t aVersion);
  void RetryCancel(const std::shared_ptr<Cancellation>& aCancellation);
  void Remember(const std::string& aJob, const JobStatus& aStatus);
  void Log(std::string_view aEvent, const std::string& aFields);

  NodeContext& mContext;
  const ClusterView& mView;
  std::unordered_map<std::string, JobStatus> mEnded;
  std::deque<std::string> mEndedOrder;
};

void
Front::State::Log(std::string_view aEvent, const std::string& aFields)
{
  mContext.mLog->Write(LogLevel::Info, aEvent, aFields, mContext.Now());
}

std::optional<std::uint32_t>
Front::State::ChooseShard(const dispatch::JobSpec& aJob) const
{
  // Of two shards that the id picks, the one with more room: readings are a
  // second old, and all clients in that second must not pick the same one.
  std::optional<std::uint32_t> best;
  double bestRoom = 0;
  if (mView.mShards == 0) {
    return {};
  }
  const bool leftover =
    !aJob.mSteps.empty() &&
    aJob.mSteps[0].mReservation == dispatch::Reservation::BestEffort;
  for (std::uint64_t choice = 0; choice < 2; ++choice) {
    const auto shard = static_cast<std::uint32_t>(
      XXH64(aJob.mId.data(), aJob.mId.size(), choice) % mView.mShards);
    const auto row = mView.mShardRows.find(shard);
    if (row == mView.mShardRows.end()) {
      continue;
    }
    const ShardRow& known = row->second.mRow;
    const auto total =
      static_cast<double>(std::max<std::int64_t>(1, known.mTotalCores));
    const double room =
      static_cast<double>(leftover ? known.mLeftoverCores : known.mFreeCores) /
      total;
    if (!best || room > bestRoom) {
      best = shard;
      bestRoom = room;
    }
  }
  return best;
}

void
Front::State::Send(const std::shared_ptr<Submission>& aSubmission)
{
  const std::string& id = aSubmission->mJob.mSpec.mId;
  const JobStatus status{ aSubmission->mShard,
                          aSubmission->mJob.mSpec.mQueue,
                          dispatch::JobPhase::Active,
                          false };
  StoreTransaction transaction;
  const std::string part = mContext.mParts.OfJob(id);
  transaction.mChecks.push_back({ kStatusTable, part, id, 0 });
  transaction.mPuts.push_back({ kStatusTable, part, id, FormatStatus(status) });
  transaction.mPuts.push_back({ InboxTable(aSubmission->mShard),
                                part,
                                kAcceptedPrefix + id,
                                FormatAcceptedJob(aSubmission->mJob) });
  auto self = shared_from_this();
  const auto left =
    std::chrono::duration_cast<Millis>(aSubmission->mUntil - mContext.Now());
  mContext.mStore.mTransact(
    std::move(transaction),
    std::min(left, mContext.mSettings.mStoreTimeout),
    [self, aSubmission](const TransactionOutcome& aOutcome) {
      self->Handle(aSubmission, aOutcome);
    });
}

void
Front::State::Handle(const std::shared_ptr<Submission>& aSubmission,
                     const TransactionOutcome& aOutcome)
{
  const std::string& id = aSubmission->mJob.mSpec.mId;
  const auto finish = [&](ClientAnswer aAnswer, const char* aResult) {
    Log("submit",
        "job=" + id + " queue=" + aSubmission->mJob.mSpec.mQueue + " shard=" +
          std::to_string(aSubmission->mShard) + " result=" + aResult);
    aSubmission->mAnswer(aAnswer);
  };
  switch (aOutcome.mResult) {
    case StoreResult::Stored:
      finish(ClientAnswer::Accepted, "accepted");
      return;
    case StoreResult::Conflict:
      finish(ClientAnswer::Accepted, "accepted_before");
      return;
    case StoreResult::NotDone:
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
  if (next >= aSubmission->mUntil) {
    finish(ClientAnswer::Unknown, "store_silent");
    return;
  }
  auto self = shared_from_this();
  mContext.mDeadlines->Add(next,
                           [self, aSubmission] { self->Send(aSubmission); });
}

void
Front::State::Remember(const std::string& aJob, const JobStatus& aStatus)
{
  if (!mEnded.emplace(aJob, aStatus).second) {
    return;
  }
  mEndedOrder.push_back(aJob);
  if (mEndedOrder.size() > kRememberedStates) {
    mEnded.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

void
Front::State::RetryCancel(const std::shared_ptr<Cancellation>& aCancellation)
{
  const MonotonicTime next = mContext.Now() + mContext.mSettings.mRetryPause;
  if (next >= aCancellation->mUntil) {
    Log("cancel", "job=" + aCancellation->mJob + " result=store_unavailable");
    aCancellation->mAnswer(ClientAnswer::Unavailable);
    return;
  }
  auto self = shared_from_this();
  mContext.mDeadlines->Add(
    next, [self, aCancellation] { self->ReadForCancel(aCancellation); });
}

void
Front::State::ReadForCancel(const std::shared_ptr<Cancellation>& aCancellation)
{
  auto self = shared_from_this();
  const std::string& id = aCancellation->mJob;
  mContext.mStore.mRead(
    kStatusTable,
    mContext.mParts.OfJob(id),
    id,
    id + '\0',
    [self, aCancellation](ReadOutcome aRead) {
      if (aRead.mResult != ReadResult::Read) {
        self->RetryCancel(aCancellation);
        return;
      }
      if (aRead.mRows.empty()) {
        self->Log("cancel", "job=" + aCancellation->mJob + " result=unknown");
        aCancellation->mAnswer(ClientAnswer::NoSuchJob);
        return;
      }
      const std::optional<JobStatus> status =
        ParseStatus(aRead.mRows[0].mValue);
      if (!status) {
        self->Log("unreadable_status", "job=" + aCancellation->mJob);
        aCancellation->mAnswer(ClientAnswer::Unavailable);
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
Front::State::WriteCancel(const std::shared_ptr<Cancellation>& aCancellation,
                          JobStatus aStatus,
                          std::int64_t aVersion)
{
  const std::string& id = aCancellation->mJob;
  aStatus.mPhase = dispatch::JobPhase::Cancelled;
  StoreTransaction transaction;
  const std::string part = mContext.mParts.OfJob(id);
  transaction.mChecks.push_back({ kStatusTable, part, id, aVersion });
  transaction.mPuts.push_back(
    { kStatusTable, part, id, FormatStatus(aStatus) });
  transaction.mPuts.push_back(
    { InboxTable(aStatus.mShard), part, kCancelPrefix + id, "{}" });
  auto self = shared_from_this();
  mContext.mStore.mTransact(
    std::move(transaction),
    mContext.mSettings.mStoreTimeout,
    [self, aCancellation](const TransactionOutcome& aOutcome) {
      if (aOutcome.mResult != StoreResult::Stored) {
        // Reading shows whether it was stored, or ended meanwhile.
        self->RetryCancel(aCancellation);
        return;
      }
      self->Log("cancel", "job=" + aCancellation->mJob + " result=accepted");
      aCancellation->mAnswer(ClientAnswer::Accepted);
    });
}

Front::Front(NodeContext& aContext, const ClusterView& aView)
  : mState(std::make_shared<State>(aContext, aView))
{
}

Front::~Front() = default;

void
Front::Submit(dispatch::JobSpec aJob, std::function<void(ClientAnswer)> aAnswer)
{
  const std::optional<std::uint32_t> shard = mState->ChooseShard(aJob);
  if (!shard) {
    mState->Log("submit", "job=" + aJob.mId + " result=no_shard");
    aAnswer(ClientAnswer::NotAccepted);
    return;
  }
  auto submission = std::make_shared<State::Submission>();
  submission->mJob = { std::move(aJob), UnixMs() };
  submission->mShard = *shard;
  submission->mUntil =
    mState->mContext.Now() + mState->mContext.mSettings.mLongestAnswer;
  submission->mAnswer = std::move(aAnswer);
  mState->Send(submission);
}

void
Front::Cancel(const std::string& aJob,
              std::function<void(ClientAnswer)> aAnswer)
{
  mState->ReadForCancel(
    std::make_shared<State::Cancellation>(State::Cancellation{
      aJob,
      mState->mContext.Now() + mState->mContext.mSettings.mLongestAnswer,
      std::move(aAnswer) }));
}

void
Front::Status(const std::string& aJob,
              std::function<void(StatusAnswer)> aAnswer)
{
  const auto ended = mState->mEnded.find(aJob);
  if (ended != mState->mEnded.end()) {
    aAnswer({ ClientAnswer::Accepted, ended->second });
    return;
  }
  auto state = mState;
  mState->mContext.mStore.mRead(
    kStatusTable,
    mState->mContext.mParts.OfJob(aJob),
    aJob,
    aJob + '\0',
    [state, aJob, answer = std::move(aAnswer)](ReadOutcome aRead) {
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
      if (status->mPhase != dispatch::JobPhase::Active) {
        state->Remember(aJob, *status);
      }
      answer({ ClientAnswer::Accepted, *status });
    });
}

std::uint64_t
Front::Pending(const std::string& aQueue) const
{
  std::uint64_t pending = 0;
  for (const auto& [shard, row] : mState->mView.mShardRows) {
    const auto found = row.mRow.mPending.find(aQueue);
    if (found != row.mRow.mPending.end()) {
      pending += found->second;
    }
  }
  return pending;
}

} // namespace paddle
