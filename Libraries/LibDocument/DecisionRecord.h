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

enum class SubjectKind
{
  Request,
  Job
};

/// Names of rules and figures. Records use these where they fit, because the
/// sentences for customers are written for them; others are shown as they are.
namespace rule {
// Requests.
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
inline constexpr const char* kLeaving = "process-leaving";
inline constexpr const char* kNoOwner = "no-owner";
// Jobs.
inline constexpr const char* kFits = "fits";
inline constexpr const char* kCapacity = "worker-capacity";
inline constexpr const char* kQuota = "team-quota";
inline constexpr const char* kPriority = "higher-priority-first";
inline constexpr const char* kAge = "older-first";
inline constexpr const char* kInterference = "service-latency";
inline constexpr const char* kDataCentreOut = "data-centre-out";
inline constexpr const char* kNoProof = "no-proof-in-service";
inline constexpr const char* kNeverFits = "never-fits";
inline constexpr const char* kHeldAfterFailures = "held-after-failures";
inline constexpr const char* kCancelled = "cancelled";
} // namespace rule

namespace figure {
inline constexpr const char* kWaitedMs = "waitedMs";
inline constexpr const char* kDeadlineMs = "deadlineMs";
inline constexpr const char* kExpectedMs = "expectedMs";
inline constexpr const char* kFreeSlots = "freeSlots";
inline constexpr const char* kSlots = "slots";
inline constexpr const char* kQuotaUse = "quotaUse"; ///< 1 is the whole quota.
inline constexpr const char* kCores = "cores";
inline constexpr const char* kLargestCores = "largestCores";
inline constexpr const char* kMemoryMb = "memoryMb";
inline constexpr const char* kLargestMemoryMb = "largestMemoryMb";
inline constexpr const char* kLostSeconds = "lostSeconds";
inline constexpr const char* kFailures = "failures";
inline constexpr const char* kTries = "tries";
inline constexpr const char* kAhead = "ahead"; ///< Waiting before it.
} // namespace figure

/// Why one request or job was served, delayed, evicted or refused, as known by
/// the process that decided at the moment it decided.
struct DecisionRecord
{
  std::chrono::system_clock::time_point mTime; ///< Kept to the microsecond.
  std::string mMember;                         ///< The process that decided.
  Decision mDecision = Decision::Served;
  SubjectKind mSubjectKind = SubjectKind::Request;
  std::string mSubject;  ///< Request id or job id.
  std::string mService;  ///< Empty for a job of no service.
  std::string mCustomer; ///< The grower or brewer, if the request named one.
  std::string mTeam;
  std::string mRule;                      ///< See namespace rule.
  std::map<std::string, double> mFigures; ///< See namespace figure.
  /// The least change that would have led to another decision, as a sentence
  /// part, for instance "a deadline of at least 900 ms".
  std::string mWhatWouldHaveChangedIt;
};

/// @return the record as a JSON object; empty members are left out
Json::Value
ToJson(const DecisionRecord& aRecord);

/// @return the record, or an error that names the member that is wrong
Outcome<DecisionRecord>
DecisionRecordFromJson(const Json::Value& aValue);

/// @return name of the object that holds a batch of records; names of one
///         member sort in the order of their sequence numbers
std::string
RecordObjectName(std::string_view aMember, std::uint64_t aSequence);

/// Encodes a batch: a JSON object with the array "records".
std::string
EncodeRecords(const std::vector<DecisionRecord>& aRecords);

/// @param aName name of the object, for errors
Outcome<std::vector<DecisionRecord>>
DecodeRecords(std::string_view aName, std::string_view aBody);

} // namespace paddle
