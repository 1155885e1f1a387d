#include <LibRouting/KeyMemory.h>

#include <utility>

namespace paddle {

namespace {

/// Bytes that an entry takes beside its key and answer, for the bound.
constexpr std::size_t kEntryOverhead = 128;

std::size_t
BytesOf(std::string_view aKey, const KeyEntry& aEntry)
{
  std::size_t bytes = aKey.size() + kEntryOverhead;
  if (aEntry.mState == KeyState::Started) {
    // Room for the answer is kept from the start, so that it can always be
    // stored without pushing another entry out.
    bytes += kLargestStoredAnswer;
  } else if (aEntry.mAnswer) {
    bytes += aEntry.mAnswer->size();
  }
  return bytes;
}

KeyDecision
DecideKnown(const KeyEntry& aEntry)
{
  switch (aEntry.mState) {
    case KeyState::Started:
      return KeyDecision::Wait;
    case KeyState::Finished:
      return aEntry.mAnswer ? KeyDecision::Replay : KeyDecision::AnswerTooOld;
    case KeyState::Unknown:
      return KeyDecision::Unknown;
  }
  return KeyDecision::Unknown;
}

} // namespace

std::uint32_t
KeyShardOf(std::string_view aKey)
{
  // FNV-1a: every process and every build must map a key to the same shard,
  // which std::hash doesn't promise.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : aKey) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return static_cast<std::uint32_t>((hash ^ (hash >> 32)) % kKeyShards);
}

KeyDecision
AdmitKey(KeyMemory& aMemory, std::string_view aKey, MonotonicTime aNow)
{
  // A scan of all entries, so once a second and not for each request.
  constexpr Millis kExpiryInterval{ 1000 };
  if (aNow >= aMemory.mNextExpiry) {
    ExpireKeys(aMemory, aNow);
    aMemory.mNextExpiry = aNow + kExpiryInterval;
  }
  const auto found = aMemory.mEntries.find(aKey);
  if (found != aMemory.mEntries.end()) {
    return DecideKnown(found->second);
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
  if (aMemory.mBytes + BytesOf(aKey, entry) > aMemory.mSettings.mMostBytes) {
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
  if (aAnswer && aAnswer->size() > kLargestStoredAnswer) {
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
    return; // As complete as the predecessor's memory was.
  }
  aMemory.mCompleteness = KeyCompleteness::Incomplete;
  aMemory.mCompleteFrom = aNow + aMemory.mSettings.mRetention;
}

} // namespace paddle
