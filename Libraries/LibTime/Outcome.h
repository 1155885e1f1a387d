#pragma once

#include <string>
#include <utility>
#include <variant>

namespace paddle {

/// Broad class of an error; decides what a caller may do about it.
enum class ErrorKind
{
  InvalidInput, ///< The input is wrong; repeating it can't succeed.
  NotFound,     ///< The named thing does not exist.
  Conflict,     ///< Somebody else changed the state first.
  Unavailable,  ///< A service can't be reached or refused for now.
  Unknown,      ///< The effect of the operation is not known.
  Internal      ///< A fault of this program or of a peer's answer.
};

/// An error as a value, with a message that a person can act on.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
};

/// Stands for success without a value.
struct Done
{
  bool operator==(const Done&) const = default;
};

/// Either a value or the reason why there is none.
template<typename T, typename E = Error>
using Outcome = std::variant<T, E>;

/// @return whether @p aOutcome holds a value
template<typename T, typename E>
[[nodiscard]] bool
Succeeded(const std::variant<T, E>& aOutcome)
{
  return aOutcome.index() == 0;
}

/// @return the value of @p aOutcome, which must hold one
template<typename T, typename E>
[[nodiscard]] T&
ValueOf(std::variant<T, E>& aOutcome)
{
  return std::get<0>(aOutcome);
}

template<typename T, typename E>
[[nodiscard]] const T&
ValueOf(const std::variant<T, E>& aOutcome)
{
  return std::get<0>(aOutcome);
}

/// @return the error of @p aOutcome, which must hold one
template<typename T, typename E>
[[nodiscard]] const E&
ErrorOf(const std::variant<T, E>& aOutcome)
{
  return std::get<1>(aOutcome);
}

} // namespace paddle
