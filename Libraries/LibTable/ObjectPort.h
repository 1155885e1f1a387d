#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// Access to the platform's object store. Storing an object again under the
/// same name replaces it, so a repeated store is harmless.
struct ObjectPort
{
  std::function<Outcome<Done>(std::string_view aName, std::string_view aBody)>
    mStore;
  std::function<Outcome<std::string>(std::string_view aName)> mRead;
  /// Lists the names that start with a prefix, in order.
  std::function<Outcome<std::vector<std::string>>(std::string_view aPrefix)>
    mList;
};

} // namespace paddle
