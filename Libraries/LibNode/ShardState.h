#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <LibDispatch/Dispatcher.h>
#include <LibNode/NodeContext.h>
#include <LibNode/ShardHost.h>

namespace paddle {

/// Keys of a shard's progress table beside those of its jobs.
inline constexpr const char* kChainKey = "chain";
inline constexpr const char* kRunnersKey = "runners";
inline constexpr const char* kInterferenceKey = "interference";
inline constexpr const char* kJobPrefix = "job/";
/// Keys of a shard's inbox.
inline constexpr const char* kAcceptedPrefix = "accepted/";
inline constexpr const char* kCancelPrefix = "cancel/";
/// Table of what any node answers about a job.
inline constexpr const char* kStatusTable = "jobs";

std::string
InboxTable(std::uint32_t aShard);
std::string
ProgressTable(std::uint32_t aShard);

/// The steps of taking a shard.
enum class ShardStage
{
  Claiming,
  ReadingRunners, ///< Which runners an earlier owner used.
  Fencing,        ///< First renewals under the new epoch are out.
  ReadingJobs,
  Serving
};

struct RunnerLink
{
  bool mInFlight = false;
  bool mKick = false; ///< Renew again as soon as the present one is answered.
  bool mAnswered = false;
  bool mStoring = false; ///< Waits for the commit of ends that it listed.
  MonotonicTime mNextAt;
  MonotonicTime mSentAt;
  Millis mBackoff{ 0 };
};

/// State of one shard's host, shared with the handlers of its calls.
struct ShardHost::State : std::enable_shared_from_this<State>
{
  State(NodeContext& aContext, const Claim& aClaim);

  // Taking the shard (ShardTaking.cpp).
  void SendClaim();
  void ReadProgress(const std::string& aFrom);
  void BeginFence(MonotonicTime aNow);
  /// Reads the inbox in full: on taking the shard, and when the store has
  /// forgotten the changes since the last one that was followed.
  void ReadInbox();
  void ReadInboxPart(const std::string& aPart, const std::string& aFrom);
  void HandleInboxRead();
  void LoadJobs();
  void BeginServing(MonotonicTime aNow);

  // The inbox (ShardInbox.cpp).
  void FollowInbox();
  void ApplyInboxRow(const StoreRow& aRow, dispatch::PriorRuns aHistory);

  // Runners (ShardRunners.cpp).
  void ApplyRunners();
  void Renew(dispatch::RunnerIndex aRunner, MonotonicTime aNow);
  void HandleRenewal(dispatch::RunnerIndex aRunner,
                     const RenewOutcome& aOutcome,
                     MonotonicTime aSentAt,
                     Millis aWait);
  /// Renews runners whose listed ends are stored now.
  void RenewStored(MonotonicTime aNow);
  void Perform(dispatch::Actions& aActions);
  void PerformStart(const dispatch::StartTask& aStart);
  void PerformStop(const dispatch::StopTask& aStop);
  void PerformPace(const dispatch::PaceTask& aPace);
  RunnerTarget TargetOf(dispatch::RunnerIndex aRunner) const;
  RunnerLink& LinkOf(dispatch::RunnerIndex aRunner);

  // Progress (ShardCommits.cpp).
  void BeginCommit(MonotonicTime aNow);
  void SendNextTransaction();
  /// @return the value of the chain row that the next transaction writes
  [[nodiscard]] std::string NextChainValue() const;
  void HandleTransaction(const TransactionOutcome& aOutcome);
  void StoreRunners();
  void HandleRunnersStored();
  [[nodiscard]] bool RecordsDiffer(MonotonicTime aNow) const;
  void RememberEnded(const std::string& aJob);

  void Log(LogLevel aLevel, std::string_view aEvent, std::string_view aFields);
  void Lose(std::string_view aReason);
  [[nodiscard]] bool MayAct(MonotonicTime aNow) const;

  NodeContext& mContext;
  Claim mClaim;
  ShardStage mStage = ShardStage::Claiming;
  bool mLost = false;
  bool mRetired = false;
  std::int64_t mRowVersion = 0;
  std::uint64_t mBeat = 0;
  MonotonicTime mRightUntil;
  MonotonicTime mFencedAt;

  dispatch::Dispatcher mCore;
  std::vector<RunnerLink> mLinks;
  std::vector<dispatch::RunnerSpec> mListed; ///< Latest reading of this shard.
  bool mListedRead = false;
  std::set<std::string> mStoredRunners;
  /// Read by a new owner: progress by job, and the runners that were used.
  std::unordered_map<std::string, std::string> mStoredProgress;
  std::vector<dispatch::InheritedRunner> mFormerRunners;
  std::vector<StoreRow> mInboxRows;
  std::uint32_t mInboxPartsLeft = 0; ///< Of a reading in full.
  std::int64_t mInboxVersion = 0;

  /// Version of the row that every transaction of this shard replaces, so that
  /// a late one of a former owner, or of our own, never applies.
  std::int64_t mChainVersion = 0;
  std::uint64_t mChainNumber = 0;
  std::deque<StoreTransaction> mTransactions; ///< Of the commit under way.
  std::optional<dispatch::Commit> mCommit;
  std::vector<dispatch::JobPhase> mCommitPhases;
  bool mTransactionOut = false;
  bool mStoringRunners = false;
  /// Jobs whose end is stored. A reading of the inbox that was under way then
  /// may still show them, and they must not run again.
  std::unordered_set<std::string> mEndedJobs;
  std::deque<std::string> mEndedOrder;
  MonotonicTime mRetryAt;
  MonotonicTime mDirtySince;
  MonotonicTime mInterferenceStoredAt;
  std::vector<dispatch::InheritedRunner> mRunnersBeingStored;
};

} // namespace paddle
