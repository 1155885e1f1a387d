#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// Interface to the platform's object store. Storing an object under a name in
/// use replaces the old object, so that mStore may be retried safely.
struct ObjectPort
{
  /// Stores an object under a name.
  std::function<Outcome<Done>(std::string_view aName, std::string_view aBody)>
    mStore;
  /// Returns the body of an object.
  std::function<Outcome<std::string>(std::string_view aName)> mRead;
  /// Returns the names of all objects that start with the prefix, in order.
  std::function<Outcome<std::vector<std::string>>(std::string_view aPrefix)>
    mList;
};

} // namespace paddle
