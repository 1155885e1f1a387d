#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddle {

/// The body of a runner's answer. It repeats what the runner received, so
/// that a caller can tell whether an answer belongs to its own request.
struct RunnerAnswer
{
  std::string mRunner;
  std::string mRequestId; ///< Paddle-Request-Id as received.
  std::string mKey;       ///< Idempotency-Key as received.
  std::string mTarget;    ///< Path and query as received.
  std::string mBody;      ///< Body as received.
};

/// @return a checksum line followed by the answer as JSON
std::string
EncodeAnswer(const RunnerAnswer& aAnswer);

/// @return the answer, or nothing if it is cut short or altered
std::optional<RunnerAnswer>
DecodeAnswer(std::string_view aText);

} // namespace paddle
