#include <Scenarios/Primitives.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include <LibBase/JsonReader.h>
#include <LibRpc/RpcClient.h>
#include <Scenarios/LuaJson.h>

// NOTE: Lua raises errors by longjmp, which skips C++ destructors. Functions
// in this file therefore check their argument types before they create any
// object, and return failures as values instead of raising errors.

namespace paddle {

namespace {

/// Time limit of a call for which the script gives none.
constexpr Millis kDefaultTimeout{ 10000 };

/// @return the context that RegisterPrimitives() bound to the called function
ScenarioContext&
ScenarioContextOf(lua_State* aLua)
{
  return *static_cast<ScenarioContext*>(
    lua_touserdata(aLua, lua_upvalueindex(1)));
}

/// Pushes nil and an error message.
/// @return the number of pushed values
int
PushFailure(lua_State* aLua, const std::string& aMessage)
{
  lua_pushnil(aLua);
  lua_pushlstring(aLua, aMessage.data(), aMessage.size());
  return 2;
}

/// @return the string at stack index @p aIndex; empty if it is not a string or
///         number
std::string
StringAt(lua_State* aLua, int aIndex)
{
  std::size_t size = 0;
  const char* text = lua_tolstring(aLua, aIndex, &size);
  return text == nullptr ? std::string() : std::string(text, size);
}

/// @return the number of seconds at stack index @p aIndex as a duration;
///         @p aDefault if there is no number
Millis
DurationAt(lua_State* aLua, int aIndex, Millis aDefault)
{
  if (lua_isnumber(aLua, aIndex) == 0) {
    return aDefault;
  }
  return Millis(static_cast<Millis::rep>(lua_tonumber(aLua, aIndex) * 1000));
}

/// Starts a program as a child process.
/// spawn(name, program, {argument...}) -> process id
int
Spawn(lua_State* aLua)
{
  luaL_checktype(aLua, 3, LUA_TTABLE);
  ScenarioContext& context = ScenarioContextOf(aLua);
  const std::string program = StringAt(aLua, 2);
  const auto path = context.mPrograms.find(program);
  if (path == context.mPrograms.end()) {
    return PushFailure(aLua, program + " is not built");
  }
  std::vector<std::string> arguments;
  for (const Json::Value& argument : JsonAt(aLua, 3)) {
    arguments.push_back(argument.asString());
  }
  const auto pid =
    context.mProcesses.Start(StringAt(aLua, 1), path->second, arguments);
  if (!Succeeded(pid)) {
    return PushFailure(aLua, ErrorOf(pid).mMessage);
  }
  lua_pushinteger(aLua, ValueOf(pid));
  return 1;
}

/// Sends a signal to a process.
/// signal(name, "TERM" | "KILL" | "STOP" | "CONT" | "HUP") -> true
int
Signal(lua_State* aLua)
{
  const std::map<std::string, int> signals{ { "TERM", SIGTERM },
                                            { "KILL", SIGKILL },
                                            { "STOP", SIGSTOP },
                                            { "CONT", SIGCONT },
                                            { "HUP", SIGHUP } };
  const auto signal = signals.find(StringAt(aLua, 2));
  if (signal == signals.end()) {
    return PushFailure(aLua, "unknown signal");
  }
  const auto sent = ScenarioContextOf(aLua).mProcesses.Signal(StringAt(aLua, 1),
                                                              signal->second);
  if (!Succeeded(sent)) {
    return PushFailure(aLua, ErrorOf(sent).mMessage);
  }
  lua_pushboolean(aLua, 1);
  return 1;
}

/// Waits until a process has ended.
/// wait_exit(name, seconds) -> exit code, or nil if the process still runs
int
WaitExit(lua_State* aLua)
{
  const auto code = ScenarioContextOf(aLua).mProcesses.Wait(
    StringAt(aLua, 1), DurationAt(aLua, 2, kDefaultTimeout));
  if (!code) {
    return PushFailure(aLua, StringAt(aLua, 1) + " still runs");
  }
  lua_pushinteger(aLua, *code);
  return 1;
}

/// Reads the output of a process.
/// output(name) -> what it has written to its standard output so far
int
Output(lua_State* aLua)
{
  const std::string text =
    ScenarioContextOf(aLua).mProcesses.Output(StringAt(aLua, 1));
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

/// Calls an RPC method over a fresh connection.
/// rpc("IP:PORT", method, parameters, seconds) -> result
int
Rpc(lua_State* aLua)
{
  const auto endpoint = ParseEndpoint(StringAt(aLua, 1));
  if (!Succeeded(endpoint)) {
    return PushFailure(aLua, ErrorOf(endpoint).mMessage);
  }
  Json::Value parameters = JsonAt(aLua, 3);
  if (parameters.isNull()) {
    parameters = Json::objectValue;
  }
  const auto result = CallRpc(ScenarioContextOf(aLua).mClient,
                              ValueOf(endpoint),
                              StringAt(aLua, 2),
                              parameters,
                              DurationAt(aLua, 4, kDefaultTimeout),
                              ConnectionUse::Fresh);
  if (!Succeeded(result)) {
    return PushFailure(aLua, ErrorOf(result).mMessage);
  }
  PushJson(aLua, ValueOf(result));
  return 1;
}

/// Sends an HTTP request over a fresh connection.
/// http("IP:PORT", method, path, headers, body, seconds)
/// -> {status, headers, body}
int
Http(lua_State* aLua)
{
  const auto endpoint = ParseEndpoint(StringAt(aLua, 1));
  if (!Succeeded(endpoint)) {
    return PushFailure(aLua, ErrorOf(endpoint).mMessage);
  }
  HttpRequest request;
  request.mMethod = StringAt(aLua, 2);
  request.mPath = StringAt(aLua, 3);
  const Json::Value headers = JsonAt(aLua, 4);
  for (const std::string& name : headers.getMemberNames()) {
    request.mHeaders.emplace_back(name, headers[name].asString());
  }
  request.mBody = StringAt(aLua, 5);
  const auto reply = ScenarioContextOf(aLua).mClient.Execute(
    ValueOf(endpoint),
    request,
    DurationAt(aLua, 6, kDefaultTimeout),
    ConnectionUse::Fresh);
  if (!Succeeded(reply)) {
    return PushFailure(aLua, ErrorOf(reply).mMessage);
  }
  Json::Value result(Json::objectValue);
  result["status"] = ValueOf(reply).mStatus;
  result["body"] = ValueOf(reply).mBody;
  result["headers"] = Json::objectValue;
  for (const auto& [name, value] : ValueOf(reply).mHeaders) {
    result["headers"][name] = value;
  }
  PushJson(aLua, result);
  return 1;
}

/// Serializes a Lua value as JSON.
/// json(value) -> text
int
ToJsonText(lua_State* aLua)
{
  const std::string text = WriteJson(JsonAt(aLua, 1));
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

/// Writes a file into the scenario's directory and replaces an existing one.
/// write_file(name, text) -> path of the file
int
WriteFile(lua_State* aLua)
{
  const std::string path =
    ScenarioContextOf(aLua).mDirectory + "/" + StringAt(aLua, 1);
  std::ofstream file(path, std::ios::trunc);
  file << StringAt(aLua, 2);
  file.close();
  if (!file) {
    return PushFailure(aLua, "can't write " + path);
  }
  lua_pushlstring(aLua, path.data(), path.size());
  return 1;
}

/// Reads the monotonic clock.
/// now() -> seconds
int
Now(lua_State* aLua)
{
  const std::chrono::duration<double> now =
    std::chrono::steady_clock::now().time_since_epoch();
  lua_pushnumber(aLua, now.count());
  return 1;
}

/// Blocks the script for a time.
/// sleep(seconds)
int
Sleep(lua_State* aLua)
{
  std::this_thread::sleep_for(DurationAt(aLua, 1, Millis(0)));
  return 0;
}

/// Prints a line to the standard output of the scenario.
/// log(text)
int
LogText(lua_State* aLua)
{
  std::printf("%s\n", StringAt(aLua, 1).c_str());
  std::fflush(stdout);
  return 0;
}

} // namespace

void
RegisterPrimitives(lua_State* aLua, ScenarioContext& aContext)
{
  const luaL_Reg functions[] = {
    { "spawn", Spawn },
    { "signal", Signal },
    { "wait_exit", WaitExit },
    { "output", Output },
    { "rpc", Rpc },
    { "http", Http },
    { "json", ToJsonText },
    { "write_file", WriteFile },
    { "now", Now },
    { "sleep", Sleep },
    { "log", LogText },
    { nullptr, nullptr },
  };
  lua_newtable(aLua);
  lua_pushlightuserdata(aLua, &aContext);
  luaL_setfuncs(aLua, functions, 1);
  lua_setglobal(aLua, "primitive");
}

} // namespace paddle
