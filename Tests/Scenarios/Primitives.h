#pragma once

#include <map>
#include <string>

#include <LibHttp/HttpClient.h>
#include <Scenarios/Processes.h>
#include <lua5.4/lua.hpp>

namespace paddle {

/// State of one scenario run, shared by all functions that scripts call.
struct ScenarioContext
{
  explicit ScenarioContext(const std::string& aDirectory)
    : mDirectory(aDirectory)
    , mProcesses(aDirectory)
  {
  }

  std::string mDirectory; ///< Holds files and process output.
  std::map<std::string, std::string> mPrograms; ///< Program paths by name.
  Processes mProcesses;
  HttpClient mClient{ {} };
};

/// Registers the functions that Vocabulary.lua builds upon in the global Lua
/// table "primitive": spawn, signal, wait_exit, output, rpc, http, json,
/// write_file, now, sleep, log. A function that fails returns nil and an error
/// message.
/// @param aContext must outlive the Lua state
void
RegisterPrimitives(lua_State* aLua, ScenarioContext& aContext);

} // namespace paddle
