#pragma once

#include <map>
#include <string>

#include <LibHttp/HttpClient.h>
#include <Scenarios/Processes.h>
#include <lua5.4/lua.hpp>

namespace paddle {

/// What the functions of a scenario script act on.
struct ScenarioContext
{
  explicit ScenarioContext(const std::string& aDirectory)
    : mDirectory(aDirectory)
    , mProcesses(aDirectory)
  {
  }

  std::string mDirectory;                       ///< Of files and output.
  std::map<std::string, std::string> mPrograms; ///< Path by name.
  Processes mProcesses;
  HttpClient mClient{ {} };
};

/// Registers the functions that Vocabulary.lua builds upon, in the global
/// table "primitive": spawn, signal, wait_exit, output, rpc, http, json,
/// write_file, now, sleep, log. A function that fails returns
/// nil and a message.
void
RegisterPrimitives(lua_State* aLua, ScenarioContext& aContext);

} // namespace paddle
