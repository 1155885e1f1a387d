#pragma once

#include <string>
#include <utility>
#include <variant>

namespace paddle {

/// Class of an error, by which a caller decides how to handle it.
enum class ErrorKind
{
  InvalidInput, ///< The input is invalid; repeating the call can't succeed.
  NotFound,     ///< The object that the call names does not exist.
  Conflict,     ///< Another writer changed the state first.
  Unavailable,  ///< A service can't be reached or refuses calls for now.
  Unknown,      ///< The operation may or may not have taken effect.
  Internal      ///< This program has a fault, or a peer's answer is invalid.
};

/// An error as a value.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage; ///< Says what is wrong and, if possible, what to do.
};

/// The value of an Outcome that has none besides its success.
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

/// @return the value of @p aOutcome, which must hold one
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
