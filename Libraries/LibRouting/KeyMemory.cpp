#include <LibRouting/KeyMemory.h>

#include <utility>

namespace paddle {

namespace {

/// Bytes that an entry counts for in the memory bound besides its key and
/// answer.
constexpr std::size_t kEntryOverheadBytes = 128;

/// @return the bytes that an entry counts for in the memory bound
std::size_t
BytesOf(std::string_view aKey, const KeyEntry& aEntry)
{
  std::size_t bytes = aKey.size() + kEntryOverheadBytes;
  if (aEntry.mState == KeyState::Started) {
    // Memory for the answer is reserved from the start, so that the answer can
    // always be stored without the removal of another entry.
    bytes += kMaxStoredAnswerBytes;
  } else if (aEntry.mAnswer) {
    bytes += aEntry.mAnswer->size();
  }
  return bytes;
}

/// @return the decision about a key that has an entry
KeyDecision
DecideKnownKey(const KeyEntry& aEntry)
{
  switch (aEntry.mState) {
    case KeyState::Started:
      return KeyDecision::Wait;
    case KeyState::Finished:
      return aEntry.mAnswer ? KeyDecision::Replay : KeyDecision::AnswerTooLarge;
    case KeyState::Unknown:
      return KeyDecision::Unknown;
  }
  return KeyDecision::Unknown;
}

} // namespace

std::uint32_t
KeyShardOf(std::string_view aKey)
{
  // The hash is FNV-1a. Every process and every build must map a key to the
  // same shard, which std::hash does not guarantee.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : aKey) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return static_cast<std::uint32_t>((hash ^ (hash >> 32)) % kKeyShards);
}

KeyDecision
AdmitKey(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow)
{
  // Expiry scans all entries, so it runs at this interval and not for each
  // request.
  constexpr Millis kExpiryInterval{ 1000 };
  if (aNow >= aMemory.mNextExpiry) {
    ExpireKeys(aMemory, aNow);
    aMemory.mNextExpiry = aNow + kExpiryInterval;
  }
  const auto found = aMemory.mEntries.find(aKey);
  if (found != aMemory.mEntries.end()) {
    return DecideKnownKey(found->second);
  }
  if (aMemory.mCompleteness == KeyCompleteness::Incomplete) {
    if (aNow < aMemory.mCompleteFrom) {
      return KeyDecision::Unknown;
    }
    aMemory.mCompleteness = KeyCompleteness::Complete;
  }
  KeyEntry entry{ KeyState::Started,
                  nullptr,
                  aNow + aMemory.mSettings.mRetention };
  if (aMemory.mBytes + BytesOf(aKey, entry) > aMemory.mSettings.mMaxBytes) {
    return KeyDecision::Full;
  }
  PutKey(aMemory, aKey, std::move(entry));
  return KeyDecision::Run;
}

void
FinishKey(KeyMemory& aMemory,
          std::string_view aKey,
          std::shared_ptr<const std::string> aAnswer,
          MonotonicTime aNow)
{
  if (aAnswer && aAnswer->size() > kMaxStoredAnswerBytes) {
    aAnswer = nullptr;
  }
  PutKey(aMemory,
         aKey,
         { KeyState::Finished,
           std::move(aAnswer),
           aNow + aMemory.mSettings.mRetention });
}

void
MarkKeyUnknown(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow)
{
  PutKey(aMemory,
         aKey,
         { KeyState::Unknown, nullptr, aNow + aMemory.mSettings.mRetention });
}

void
ForgetKey(KeyMemory& aMemory, std::string_view aKey)
{
  const auto found = aMemory.mEntries.find(aKey);
  if (found == aMemory.mEntries.end()) {
    return;
  }
  aMemory.mBytes -= BytesOf(aKey, found->second);
  aMemory.mEntries.erase(found);
}

void
PutKey(KeyMemory& aMemory, std::string_view aKey, KeyEntry aEntry)
{
  ForgetKey(aMemory, aKey);
  aMemory.mBytes += BytesOf(aKey, aEntry);
  aMemory.mEntries.emplace(std::string(aKey), std::move(aEntry));
}

void
ExpireKeys(KeyMemory& aMemory, MonotonicTime aNow)
{
  std::erase_if(aMemory.mEntries, [&](const auto& aItem) {
    if (aNow < aItem.second.mExpires) {
      return false;
    }
    aMemory.mBytes -= BytesOf(aItem.first, aItem.second);
    return true;
  });
}

void
AdoptKeys(KeyMemory& aMemory,
          Acquisition aAcquisition,
          KeyCopies aCopies,
          MonotonicTime aNow)
{
  for (auto& [key, entry] : aMemory.mEntries) {
    if (entry.mState == KeyState::Started) {
      entry.mState = KeyState::Unknown;
    }
  }
  if (aAcquisition == Acquisition::FirstOwner) {
    aMemory.mCompleteness = KeyCompleteness::Complete;
    return;
  }
  if (aAcquisition != Acquisition::Takeover && aCopies == KeyCopies::Synced) {
    return; // The copies are as complete as the predecessor's entries were.
  }
  aMemory.mCompleteness = KeyCompleteness::Incomplete;
  aMemory.mCompleteFrom = aNow + aMemory.mSettings.mRetention;
}

} // namespace paddle
