#pragma once

#include <json/value.h>
#include <string>

#include <LibRouting/KeyMemory.h>

namespace paddle {

/// Encodes the entry of one idempotency key for another gateway.
/// @param aNow the present time; the expiry is encoded relative to it
/// @return the entry as JSON
Json::Value
EncodeKeyEntry(const std::string& aKey,
               const KeyEntry& aEntry,
               MonotonicTime aNow);

/// Adds an entry that EncodeKeyEntry() encoded to a memory; replaces an earlier
/// entry of the same key.
void
ApplyKeyEntry(KeyMemory& aMemory,
              const Json::Value& aEncoded,
              MonotonicTime aNow);

/// Encodes all entries of a memory and whether it is complete.
/// @param aOut the JSON object to which they are added
void
EncodeKeyMemory(const KeyMemory& aMemory,
                MonotonicTime aNow,
                Json::Value& aOut);

/// Adds the entries that EncodeKeyMemory() encoded to a memory and sets its
/// completeness.
void
ApplyKeyMemory(KeyMemory& aMemory,
               const Json::Value& aEncoded,
               MonotonicTime aNow);

} // namespace paddle
