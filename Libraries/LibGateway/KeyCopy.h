#pragma once

#include <json/value.h>
#include <string>

#include <LibRouting/KeyMemory.h>

namespace paddle {

/// @return an entry as gateways exchange it
Json::Value
EncodeKeyEntry(const std::string& aKey,
               const KeyEntry& aEntry,
               MonotonicTime aNow);

/// Puts an entry from EncodeKeyEntry() into a memory.
void
ApplyKeyEntry(KeyMemory& aMemory,
              const Json::Value& aEncoded,
              MonotonicTime aNow);

/// Adds all entries of a memory, and how complete it is, to @p aOut.
void
EncodeKeyMemory(const KeyMemory& aMemory,
                MonotonicTime aNow,
                Json::Value& aOut);

/// Adds what EncodeKeyMemory() encoded to a memory.
void
ApplyKeyMemory(KeyMemory& aMemory,
               const Json::Value& aEncoded,
               MonotonicTime aNow);

} // namespace paddle
