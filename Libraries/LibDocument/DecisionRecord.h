#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// What a process decided about a request or a job.
enum class Decision
{
  Served,  ///< Sent to a runner, or started on a worker.
  Delayed, ///< Still waiting when the record was made.
  Evicted, ///< Stopped to make room; goes on from its checkpoint.
  Refused, ///< Not run.
  Unknown  ///< Sent, but no answer arrived: it may have run.
};

/// What a decision record is about.
enum class SubjectKind
{
  Request,
  Job
};

/// Names of the rules that lead to decisions, as stored in records. Records use
/// these names where one applies, because ExplainDecision() has a sentence for
/// each of them; it shows any other rule by its name.
namespace rule {
// Rules for requests.
inline constexpr const char* kFreeSlot = "free-slot";
inline constexpr const char* kForwardedToPeer = "forwarded-to-peer";
inline constexpr const char* kWaitsForSlot = "waits-for-slot";
inline constexpr const char* kRetried = "retried";
inline constexpr const char* kNoRunner = "no-runner";
inline constexpr const char* kWatchShare = "watch-share";
inline constexpr const char* kQueueFull = "queue-full";
inline constexpr const char* kDeadlineTooShort = "deadline-too-short";
inline constexpr const char* kDeadlinePassed = "deadline-passed";
inline constexpr const char* kRetryBudgetSpent = "retry-budget-spent";
inline constexpr const char* kTriesSpent = "tries-spent";
inline constexpr const char* kNotRepeatable = "not-repeatable";
inline constexpr const char* kShardMoved = "shard-moved";
inline constexpr const char* kKeyMemoryFull = "key-memory-full";
inline constexpr const char* kRepeatedKey = "repeated-key";
inline constexpr const char* kProcessLeaving = "process-leaving";
inline constexpr const char* kNoOwner = "no-owner";
// Rules for jobs.
inline constexpr const char* kFits = "fits";
inline constexpr const char* kWorkerCapacity = "worker-capacity";
inline constexpr const char* kTeamQuota = "team-quota";
inline constexpr const char* kHigherPriorityFirst = "higher-priority-first";
inline constexpr const char* kOlderFirst = "older-first";
inline constexpr const char* kInterference = "service-latency";
inline constexpr const char* kDataCentreOut = "data-centre-out";
inline constexpr const char* kNoProofInService = "no-proof-in-service";
inline constexpr const char* kNeverFits = "never-fits";
inline constexpr const char* kHeldAfterFailures = "held-after-failures";
inline constexpr const char* kCancelled = "cancelled";
} // namespace rule

/// Names of the figures (the numeric values behind a decision), as stored in
/// records. Names that end in "Ms", "Seconds" or "Mb" give their unit.
namespace figure {
inline constexpr const char* kWaitedMs = "waitedMs";
inline constexpr const char* kDeadlineMs = "deadlineMs";
inline constexpr const char* kExpectedMs = "expectedMs";
inline constexpr const char* kFreeSlots = "freeSlots";
inline constexpr const char* kSlots = "slots";
inline constexpr const char* kQuotaUse = "quotaUse"; ///< Share; 1: whole quota.
inline constexpr const char* kCores = "cores";
inline constexpr const char* kLargestCores = "largestCores";
inline constexpr const char* kMemoryMb = "memoryMb";
inline constexpr const char* kLargestMemoryMb = "largestMemoryMb";
/// Work since the last checkpoint that an eviction discards.
inline constexpr const char* kLostSeconds = "lostSeconds";
inline constexpr const char* kFailures = "failures";
inline constexpr const char* kTries = "tries";
/// Number of requests that wait and are served earlier.
inline constexpr const char* kAhead = "ahead";
} // namespace figure

/// Why one request or job was served, delayed, evicted or refused. It holds
/// what the deciding process knew at the moment of the decision.
struct DecisionRecord
{
  std::chrono::system_clock::time_point mTime; ///< Kept to the microsecond.
  std::string mMember;                         ///< The process that decided.
  Decision mDecision = Decision::Served;
  SubjectKind mSubjectKind = SubjectKind::Request;
  std::string mSubject; ///< Request id or job id.
  std::string mService; ///< Empty for a job of no service.
  /// The client account that the request was sent for; empty if it named none.
  std::string mClientAccount;
  std::string mTeam; ///< The team that the job belongs to, if it is given.
  std::string mRule; ///< Name of the rule, see namespace rule.
  std::map<std::string, double> mFigures; ///< By name, see namespace figure.
  /// The smallest change that would have led to another decision, worded as
  /// part of a sentence, for instance "a deadline of at least 900 ms". It is
  /// stored as "whatWouldHaveChangedIt".
  std::string mCounterfactual;
};

/// @return the record as a JSON object; empty members are left out
Json::Value
ToJson(const DecisionRecord& aRecord);

/// @return the record, or an error that names the member that is wrong
Outcome<DecisionRecord>
DecisionRecordFromJson(const Json::Value& aValue);

/// @param aMember   name of the process that wrote the batch
/// @param aSequence number of the batch, rising within the process
/// @return the name of the stored object that holds a batch of records; the
///         names of one member sort in the order of their sequence numbers
std::string
RecordObjectName(std::string_view aMember, std::uint64_t aSequence);

/// Encodes a batch of records as a JSON object with the array "records".
std::string
EncodeRecords(const std::vector<DecisionRecord>& aRecords);

/// Decodes a batch of records, see EncodeRecords().
/// @param aName name of the stored object, used in errors
/// @return the records, or an error if any of them is damaged
Outcome<std::vector<DecisionRecord>>
DecodeRecords(std::string_view aName, std::string_view aBody);

} // namespace paddle
