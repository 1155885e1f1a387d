#pragma once

#include <string>

namespace paddle {

/// Encodes bytes as text, because JSON can't carry bytes that are not UTF-8.
std::string
ToBase64(const std::string& aBytes);

std::string
FromBase64(const std::string& aText);

} // namespace paddle
