#include <LibGateway/KeyCopy.h>

#include <LibGateway/Codec/Base64.h>

namespace paddle {

namespace {

/// @return the name of a state in messages between gateways
const char*
NameOf(KeyState aState)
{
  switch (aState) {
    case KeyState::Started:
      return "started";
    case KeyState::Finished:
      return "finished";
    case KeyState::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// @return the state with a name; names that are not known count as unknown
KeyState
StateOf(const std::string& aName)
{
  if (aName == "started") {
    return KeyState::Started;
  }
  return aName == "finished" ? KeyState::Finished : KeyState::Unknown;
}

} // namespace

Json::Value
EncodeKeyEntry(const std::string& aKey,
               const KeyEntry& aEntry,
               MonotonicTime aNow)
{
  Json::Value encoded(Json::objectValue);
  // Callers choose keys freely, so a key may contain bytes that JSON can't
  // carry.
  encoded["key"] = ToBase64(aKey);
  encoded["state"] = NameOf(aEntry.mState);
  // The remaining time instead of the time of expiry, because the monotonic
  // clocks of different hosts can't be compared.
  encoded["leftMs"] = Json::Int64(
    std::chrono::duration_cast<Millis>(aEntry.mExpires - aNow).count());
  if (aEntry.mAnswer) {
    encoded["answer"] = ToBase64(*aEntry.mAnswer);
  }
  return encoded;
}

void
ApplyKeyEntry(KeyMemory& aMemory,
              const Json::Value& aEncoded,
              MonotonicTime aNow)
{
  KeyEntry entry;
  entry.mState = StateOf(aEncoded["state"].asString());
  entry.mExpires = aNow + Millis(aEncoded["leftMs"].asInt64());
  if (aEncoded.isMember("answer")) {
    entry.mAnswer = std::make_shared<const std::string>(
      FromBase64(aEncoded["answer"].asString()));
  }
  PutKey(aMemory, FromBase64(aEncoded["key"].asString()), std::move(entry));
}

void
EncodeKeyMemory(const KeyMemory& aMemory, MonotonicTime aNow, Json::Value& aOut)
{
  Json::Value entries(Json::arrayValue);
  for (const auto& [key, entry] : aMemory.mEntries) {
    entries.append(EncodeKeyEntry(key, entry, aNow));
  }
  aOut["entries"] = entries;
  if (aMemory.mCompleteness == KeyCompleteness::Incomplete) {
    aOut["incompleteMs"] = Json::Int64(
      std::chrono::duration_cast<Millis>(aMemory.mCompleteFrom - aNow).count());
  }
}

void
ApplyKeyMemory(KeyMemory& aMemory,
               const Json::Value& aEncoded,
               MonotonicTime aNow)
{
  for (const Json::Value& entry : aEncoded["entries"]) {
    ApplyKeyEntry(aMemory, entry, aNow);
  }
  aMemory.mCompleteness = KeyCompleteness::Complete;
  if (aEncoded.isMember("incompleteMs")) {
    aMemory.mCompleteness = KeyCompleteness::Incomplete;
    aMemory.mCompleteFrom = aNow + Millis(aEncoded["incompleteMs"].asInt64());
  }
}

} // namespace paddle
