#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

#include <Scenarios/Primitives.h>

// Runs one scenario script: run-scenario PROGRAMS VOCABULARY SCRIPT.
// PROGRAMS is a file with one line "NAME PATH" per program that a scenario can
// start. VOCABULARY is a Lua file that defines the functions scripts use.
// SCRIPT is the scenario. The exit code is 0 if the script ran to its end
// without an error, 1 if it failed, and 2 if it could not be started.

using namespace paddle;

namespace {

/// Time after which a script is considered stuck and fails. It is below the
/// time-out of ctest, which would kill this process without ending its child
/// processes.
constexpr unsigned kTimeLimitSeconds = 150;

/// Whether a signal has asked the script to end.
std::atomic<bool> sInterrupted{ false };

/// Signal handler for termination, interruption and the time limit.
void
RequestInterrupt(int)
{
  sInterrupted = true;
}

/// Lua hook that runs every kInstructionsPerInterruptCheck instructions and
/// raises an error in the script once a signal has arrived.
void
RaiseErrorIfInterrupted(lua_State* aLua, lua_Debug*)
{
  if (sInterrupted) {
    luaL_error(aLua, "interrupted or over its time limit");
  }
}

/// @return the path of each program by its name
std::map<std::string, std::string>
ReadPrograms(const char* aPath)
{
  std::map<std::string, std::string> programs;
  std::ifstream file(aPath);
  std::string name;
  std::string path;
  while (file >> name >> path) {
    programs[name] = path;
  }
  return programs;
}

/// Message handler of lua_pcall() that appends a stack traceback.
int
AppendTraceback(lua_State* aLua)
{
  luaL_traceback(aLua, aLua, lua_tostring(aLua, 1), 1);
  return 1;
}

/// Runs a Lua file and prints the error if it fails.
/// @return whether the file ran without an error
bool
RunFile(lua_State* aLua, const char* aPath)
{
  lua_settop(aLua, 0);
  lua_pushcfunction(aLua, AppendTraceback);
  if (luaL_loadfile(aLua, aPath) == LUA_OK &&
      lua_pcall(aLua, 0, 0, 1) == LUA_OK) {
    return true;
  }
  std::printf("FAILED %s\n", lua_tostring(aLua, -1));
  return false;
}

/// Prints the end of the standard error of every process, so that a failed
/// scenario can be diagnosed.
void
PrintLogTails(const std::string& aDirectory)
{
  constexpr std::size_t kPrintedLogBytes = 2000;
  for (const auto& entry : std::filesystem::directory_iterator(aDirectory)) {
    if (entry.path().extension() != ".err") {
      continue;
    }
    std::ifstream file(entry.path());
    std::string text((std::istreambuf_iterator<char>(file)), {});
    if (text.size() > kPrintedLogBytes) {
      text = text.substr(text.size() - kPrintedLogBytes);
    }
    std::printf("--- %s\n%s\n", entry.path().filename().c_str(), text.c_str());
  }
}

/// Runs the vocabulary and then the script in one Lua state.
/// @param aArguments the command line of this program
/// @param aDirectory receives the files and the output of the processes
/// @return whether both ran without an error
bool
RunScenario(char** aArguments, const std::string& aDirectory)
{
  ScenarioContext context(aDirectory);
  context.mPrograms = ReadPrograms(aArguments[1]);
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             lua_close);
  luaL_openlibs(lua.get());
  RegisterPrimitives(lua.get(), context);
  constexpr int kInstructionsPerInterruptCheck = 1000;
  lua_sethook(lua.get(),
              RaiseErrorIfInterrupted,
              LUA_MASKCOUNT,
              kInstructionsPerInterruptCheck);
  return RunFile(lua.get(), aArguments[2]) && RunFile(lua.get(), aArguments[3]);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::fprintf(stderr, "usage: run-scenario PROGRAMS VOCABULARY SCRIPT\n");
    return 2;
  }
  signal(SIGTERM, RequestInterrupt);
  signal(SIGINT, RequestInterrupt);
  signal(SIGALRM, RequestInterrupt);
  alarm(kTimeLimitSeconds);
  std::string directory =
    (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(directory.data()) == nullptr) {
    std::fprintf(stderr, "can't create %s\n", directory.c_str());
    return 2;
  }
  const bool passed = RunScenario(aArguments, directory);
  if (!passed) {
    PrintLogTails(directory);
  }
  std::filesystem::remove_all(directory);
  return passed ? 0 : 1;
}
