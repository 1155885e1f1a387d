#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <LibLease/LeaseKeeper.h>
#include <LibTime/Time.h>

namespace paddle {

/// Number of shards that the idempotency keys are divided into.
inline constexpr std::uint32_t kKeyShards = 64;

/// How long the outcome of a request is remembered under its idempotency key.
inline constexpr Millis kKeyRetentionMs{ 600000 };

/// Largest encoded answer that is stored. For a larger answer only the fact
/// that the request has ended is stored.
inline constexpr std::size_t kMaxStoredAnswerBytes = 65536;

/// Limits of the memory of one key shard.
struct KeySettings
{
  Millis mRetention = kKeyRetentionMs;
  /// Bound on the memory of one key shard. 2 MiB hold about 4,000 small
  /// answers, so that 64 shards accept 400 requests with a key per second and
  /// take 128 MB.
  std::size_t mMaxBytes = std::size_t{ 2 } << 20;
};

/// State of the request that was sent with a key.
enum class KeyState
{
  Started,  ///< The request was sent or is about to be sent.
  Finished, ///< The request ended; its answer is stored unless too large.
  Unknown   ///< The request may have run; its result is lost.
};

/// The entry that is stored for one key.
struct KeyEntry
{
  KeyState mState = KeyState::Started;
  /// The encoded answer; null if there is none yet or it is too large.
  std::shared_ptr<const std::string> mAnswer;
  MonotonicTime mExpires{}; ///< The entry is removed at this time.
};

/// What the absence of an entry says about a key.
enum class KeyCompleteness
{
  Complete,  ///< The key was not used within the retention period.
  Incomplete ///< The entry may be lost, see KeyMemory::mCompleteFrom.
};

/// The entries of one key shard, kept by its owner and copied to the owner's
/// named successor.
struct KeyMemory
{
  KeySettings mSettings;
  KeyCompleteness mCompleteness = KeyCompleteness::Complete;
  /// Incomplete: the time from which all lost entries would have expired.
  MonotonicTime mCompleteFrom{};
  std::map<std::string, KeyEntry, std::less<>> mEntries;
  std::size_t mBytes = 0;      ///< Memory that the entries count for.
  MonotonicTime mNextExpiry{}; ///< When expired entries are next removed.
};

/// What to do with a request that carries a key.
enum class KeyDecision
{
  Run,            ///< The key is new; its entry is now Started.
  Wait,           ///< A request with this key is running; wait for its end.
  Replay,         ///< The request has finished; return the stored answer.
  AnswerTooLarge, ///< It has finished, but the answer was not stored.
  Unknown,        ///< A request with this key may have run before.
  Full            ///< There is no memory for a new key: refuse it.
};

/// @return the shard of a key, from 0 to kKeyShards - 1
std::uint32_t
KeyShardOf(std::string_view aKey);

/// Decides what to do with a request that carries a key.
/// @return the decision; on Run an entry in state Started has been added
KeyDecision
AdmitKey(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow);

/// Records that the request of a key has ended.
/// @param aAnswer the encoded answer, or null if it is too large
void
FinishKey(KeyMemory& aMemory,
          std::string_view aKey,
          std::shared_ptr<const std::string> aAnswer,
          MonotonicTime aNow);

/// Records that the request of a key may have run, with an unknown result.
void
MarkKeyUnknown(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow);

/// Removes the entry of a key whose request certainly has not run, so that a
/// repeat may run.
void
ForgetKey(KeyMemory& aMemory, std::string_view aKey);

/// Sets the entry of a key without a check of the memory bound. A successor
/// stores copies with it; only the owner enforces the bound.
void
PutKey(KeyMemory& aMemory, std::string_view aKey, KeyEntry aEntry);

/// Removes the entries whose retention period has passed.
void
ExpireKeys(KeyMemory& aMemory, MonotonicTime aNow);

/// Whether the new owner of a key shard holds copies of all entries that the
/// predecessor had.
enum class KeyCopies
{
  Missing, ///< Some copies may be missing.
  Synced   ///< There is a copy of every entry.
};

/// Prepares the memory of a process that has become the owner of its shard:
/// entries of requests that the predecessor had running become Unknown, and the
/// completeness follows from how the shard was acquired.
void
AdoptKeys(KeyMemory& aMemory,
          Acquisition aAcquisition,
          KeyCopies aCopies,
          MonotonicTime aNow);

} // namespace paddle
