#pragma once

#include <string>

namespace paddle {

/// Encodes bytes as Base64 text, because JSON can't carry bytes that are not
/// valid UTF-8.
std::string
ToBase64(const std::string& aBytes);

/// Decodes text that ToBase64() encoded.
std::string
FromBase64(const std::string& aText);

} // namespace paddle
