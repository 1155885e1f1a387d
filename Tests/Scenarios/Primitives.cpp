#include <Scenarios/Primitives.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include <LibBase/JsonReader.h>
#include <LibRpc/RpcClient.h>
#include <Scenarios/LuaJson.h>

// NOTE: Lua reports errors by longjmp, which skips destructors. The functions
// here check their arguments before they create an object, and return failures
// as values.

namespace paddle {

namespace {

constexpr Millis kDefaultTimeout{ 10000 };

ScenarioContext&
ContextOf(lua_State* aLua)
{
  return *static_cast<ScenarioContext*>(
    lua_touserdata(aLua, lua_upvalueindex(1)));
}

int
PushFailure(lua_State* aLua, const std::string& aMessage)
{
  lua_pushnil(aLua);
  lua_pushlstring(aLua, aMessage.data(), aMessage.size());
  return 2;
}

std::string
TextAt(lua_State* aLua, int aIndex)
{
  std::size_t size = 0;
  const char* text = lua_tolstring(aLua, aIndex, &size);
  return text == nullptr ? std::string() : std::string(text, size);
}

Millis
SecondsAt(lua_State* aLua, int aIndex, Millis aDefault)
{
  if (lua_isnumber(aLua, aIndex) == 0) {
    return aDefault;
  }
  return Millis(static_cast<Millis::rep>(lua_tonumber(aLua, aIndex) * 1000));
}

/// spawn(name, program, {argument...}) -> process id
int
Spawn(lua_State* aLua)
{
  luaL_checktype(aLua, 3, LUA_TTABLE);
  ScenarioContext& context = ContextOf(aLua);
  const std::string program = TextAt(aLua, 2);
  const auto path = context.mPrograms.find(program);
  if (path == context.mPrograms.end()) {
    return PushFailure(aLua, program + " is not built");
  }
  std::vector<std::string> arguments;
  for (const Json::Value& argument : JsonAt(aLua, 3)) {
    arguments.push_back(argument.asString());
  }
  const auto pid =
    context.mProcesses.Start(TextAt(aLua, 1), path->second, arguments);
  if (!Succeeded(pid)) {
    return PushFailure(aLua, ErrorOf(pid).mMessage);
  }
  lua_pushinteger(aLua, ValueOf(pid));
  return 1;
}

/// signal(name, "TERM" | "KILL" | "STOP" | "CONT") -> true
int
Signal(lua_State* aLua)
{
  const std::map<std::string, int> signals{ { "TERM", SIGTERM },
                                            { "KILL", SIGKILL },
                                            { "STOP", SIGSTOP },
                                            { "CONT", SIGCONT } };
  const auto signal = signals.find(TextAt(aLua, 2));
  if (signal == signals.end()) {
    return PushFailure(aLua, "unknown signal");
  }
  const auto sent =
    ContextOf(aLua).mProcesses.Signal(TextAt(aLua, 1), signal->second);
  if (!Succeeded(sent)) {
    return PushFailure(aLua, ErrorOf(sent).mMessage);
  }
  lua_pushboolean(aLua, 1);
  return 1;
}

/// wait_exit(name, seconds) -> exit code, or nil if it still runs
int
WaitExit(lua_State* aLua)
{
  const auto code = ContextOf(aLua).mProcesses.Wait(
    TextAt(aLua, 1), SecondsAt(aLua, 2, kDefaultTimeout));
  if (!code) {
    return PushFailure(aLua, TextAt(aLua, 1) + " still runs");
  }
  lua_pushinteger(aLua, *code);
  return 1;
}

/// output(name) -> standard output so far
int
Output(lua_State* aLua)
{
  const std::string text = ContextOf(aLua).mProcesses.Output(TextAt(aLua, 1));
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

/// rpc("IP:PORT", method, parameters, seconds) -> result
int
Rpc(lua_State* aLua)
{
  const auto endpoint = ParseEndpoint(TextAt(aLua, 1));
  if (!Succeeded(endpoint)) {
    return PushFailure(aLua, ErrorOf(endpoint).mMessage);
  }
  Json::Value parameters = JsonAt(aLua, 3);
  if (parameters.isNull()) {
    parameters = Json::objectValue;
  }
  const auto result = CallRpc(ContextOf(aLua).mClient,
                              ValueOf(endpoint),
                              TextAt(aLua, 2),
                              parameters,
                              SecondsAt(aLua, 4, kDefaultTimeout),
                              ConnectionUse::Fresh);
  if (!Succeeded(result)) {
    return PushFailure(aLua, ErrorOf(result).mMessage);
  }
  PushJson(aLua, ValueOf(result));
  return 1;
}

/// http("IP:PORT", method, path, headers, body, seconds)
/// -> {status, headers, body}
int
Http(lua_State* aLua)
{
  const auto endpoint = ParseEndpoint(TextAt(aLua, 1));
  if (!Succeeded(endpoint)) {
    return PushFailure(aLua, ErrorOf(endpoint).mMessage);
  }
  HttpRequest request;
  request.mMethod = TextAt(aLua, 2);
  request.mPath = TextAt(aLua, 3);
  const Json::Value headers = JsonAt(aLua, 4);
  for (const std::string& name : headers.getMemberNames()) {
    request.mHeaders.emplace_back(name, headers[name].asString());
  }
  request.mBody = TextAt(aLua, 5);
  const auto reply =
    ContextOf(aLua).mClient.Execute(ValueOf(endpoint),
                                    request,
                                    SecondsAt(aLua, 6, kDefaultTimeout),
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

/// json(value) -> text
int
ToJsonText(lua_State* aLua)
{
  const std::string text = WriteJson(JsonAt(aLua, 1));
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

/// write_file(name, text) -> path in the scenario's directory
int
WriteFile(lua_State* aLua)
{
  const std::string path = ContextOf(aLua).mDirectory + "/" + TextAt(aLua, 1);
  std::ofstream file(path, std::ios::trunc);
  file << TextAt(aLua, 2);
  file.close();
  if (!file) {
    return PushFailure(aLua, "can't write " + path);
  }
  lua_pushlstring(aLua, path.data(), path.size());
  return 1;
}

/// now() -> seconds on the monotonic clock
int
Now(lua_State* aLua)
{
  const std::chrono::duration<double> now =
    std::chrono::steady_clock::now().time_since_epoch();
  lua_pushnumber(aLua, now.count());
  return 1;
}

/// sleep(seconds)
int
Sleep(lua_State* aLua)
{
  std::this_thread::sleep_for(SecondsAt(aLua, 1, Millis(0)));
  return 0;
}

/// log(text)
int
LogText(lua_State* aLua)
{
  std::printf("%s\n", TextAt(aLua, 1).c_str());
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
