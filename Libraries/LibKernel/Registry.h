#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <LibTime/Outcome.h>

namespace paddle {

/// The plug-ins of one kind by their names. A plug-in is a plain struct of
/// functions. It registers itself through a Registration object at namespace
/// scope, so that a new plug-in requires no change of another file.
template<typename Plugin>
class Registry
{
public:
  /// @return the registry of this kind of plug-in
  static Registry& Instance()
  {
    static Registry sRegistry;
    return sRegistry;
  }

  /// Registers a plug-in; replaces an earlier one of the same name.
  void Add(std::string aName, Plugin aPlugin)
  {
    mPlugins.insert_or_assign(std::move(aName), std::move(aPlugin));
  }

  /// @return the plug-in, or an error that lists the names of all plug-ins
  [[nodiscard]] Outcome<Plugin> Find(std::string_view aName) const
  {
    const auto found = mPlugins.find(aName);
    if (found != mPlugins.end()) {
      return found->second;
    }
    std::string message =
      "no plug-in is named \"" + std::string(aName) + "\"; registered:";
    for (const auto& [name, plugin] : mPlugins) {
      message += " " + name;
    }
    return Error{ ErrorKind::NotFound, message };
  }

private:
  std::map<std::string, Plugin, std::less<>> mPlugins;
};

/// Registers a plug-in during static initialisation.
/// NOTE: The linker leaves out the object files of a static library that
/// nothing refers to, so plug-ins are built as CMake OBJECT libraries.
template<typename Plugin>
struct Registration
{
  Registration(std::string aName, Plugin aPlugin)
  {
    Registry<Plugin>::Instance().Add(std::move(aName), std::move(aPlugin));
  }
};

} // namespace paddle
