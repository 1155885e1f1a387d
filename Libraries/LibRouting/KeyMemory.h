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

/// Number of shards that idempotency keys are divided into.
inline constexpr std::uint32_t kKeyShards = 64;

/// How long the outcome of a key is remembered.
inline constexpr Millis kKeyRetentionMs{ 600000 };

/// Largest answer that is stored; of a larger one only the end is known.
inline constexpr std::size_t kLargestStoredAnswer = 65536;

struct KeySettings
{
  Millis mRetention = kKeyRetentionMs;
  /// Of one key shard; holds about 4,000 small answers, so that 64 shards
  /// take 400 keyed requests a second and 128 MB.
  std::size_t mMostBytes = std::size_t{ 2 } << 20;
};

enum class KeyState
{
  Started,  ///< The request was sent or is about to be.
  Finished, ///< It ended; the answer may be stored.
  Unknown   ///< It may have run; nothing more will be learned.
};

/// What is remembered of one key.
struct KeyEntry
{
  KeyState mState = KeyState::Started;
  std::shared_ptr<const std::string> mAnswer; ///< Encoded; null if too large.
  MonotonicTime mExpires{};
};

/// What may be said about a key that has no entry.
enum class KeyCompleteness
{
  Complete,  ///< It was not used within the retention.
  Incomplete ///< Entries may be lost, see KeyMemory::mCompleteFrom.
};

/// The keys of one key shard, at its owner or at the owner's successor.
struct KeyMemory
{
  KeySettings mSettings;
  KeyCompleteness mCompleteness = KeyCompleteness::Complete;
  MonotonicTime mCompleteFrom{}; ///< Then lost entries would have expired.
  std::map<std::string, KeyEntry, std::less<>> mEntries;
  std::size_t mBytes = 0;
  MonotonicTime mNextExpiry{};
};

enum class KeyDecision
{
  Run,          ///< The key is new and is now started.
  Wait,         ///< Its request is running.
  Replay,       ///< It has finished; the answer is stored.
  AnswerTooOld, ///< It has finished; the answer was too large to store.
  Unknown,      ///< It may have run before.
  Full          ///< No memory for a new key: refuse it.
};

/// @return the shard of a key, from 0 to kKeyShards - 1
std::uint32_t
KeyShardOf(std::string_view aKey);

/// Decides about a request with a key; on Run the key has been started.
KeyDecision
AdmitKey(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow);

/// Records the end of a key's request.
/// @param aAnswer the encoded answer, or null if it is too large
void
FinishKey(KeyMemory& aMemory,
          std::string_view aKey,
          std::shared_ptr<const std::string> aAnswer,
          MonotonicTime aNow);

/// Records that a key's request may have run.
void
MarkKeyUnknown(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow);

/// Forgets a key whose request surely has not run, so that a repeat may run.
void
ForgetKey(KeyMemory& aMemory, std::string_view aKey);

/// Sets the entry of a key, for copies; the bound is the owner's.
void
PutKey(KeyMemory& aMemory, std::string_view aKey, KeyEntry aEntry);

/// Drops the entries whose retention has passed.
void
ExpireKeys(KeyMemory& aMemory, MonotonicTime aNow);

/// Whether the new owner of a key shard holds copies of all entries that the
/// predecessor had.
enum class KeyCopies
{
  Missing,
  Synced
};

/// Applies what a new owner may assume. Requests that the predecessor had
/// running become unknown.
void
AdoptKeys(KeyMemory& aMemory,
          Acquisition aAcquisition,
          KeyCopies aCopies,
          MonotonicTime aNow);

} // namespace paddle
