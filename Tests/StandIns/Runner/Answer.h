#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddle {

/// The content of a runner's answer. It echoes what the runner received, so
/// that a caller can check that an answer belongs to its own request.
struct RunnerAnswer
{
  std::string mRunner;    ///< Name of the runner that answers.
  std::string mRequestId; ///< Paddle-Request-Id as received.
  std::string mKey;       ///< Idempotency-Key as received.
  std::string mTarget;    ///< Path and query as received.
  std::string mBody;      ///< Body as received.
};

/// @return the body of an HTTP answer: a line with a checksum, then the answer
///         as JSON
std::string
EncodeAnswer(const RunnerAnswer& aAnswer);

/// @return the answer in an HTTP body, or nothing if the body is truncated or
///         was altered
std::optional<RunnerAnswer>
DecodeAnswer(std::string_view aText);

} // namespace paddle
