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

// Runs one scenario script: run-scenario PROGRAMS VOCABULARY SCRIPT. PROGRAMS
// is a file with a line "NAME PATH" per program. Exits 0 if the script ran to
// its end.

using namespace paddle;

namespace {

/// A script that takes longer is stuck. The limit is below the time-out of
/// ctest, which would kill this process and leave its children behind.
constexpr unsigned kLimitSeconds = 150;

std::atomic<bool> sInterrupted{ false };

void
Interrupt(int)
{
  sInterrupted = true;
}

/// Ends the script at its next instruction after a signal.
void
CheckInterrupted(lua_State* aLua, lua_Debug*)
{
  if (sInterrupted) {
    luaL_error(aLua, "interrupted or over its time limit");
  }
}

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

int
WithTraceback(lua_State* aLua)
{
  luaL_traceback(aLua, aLua, lua_tostring(aLua, 1), 1);
  return 1;
}

/// @return whether the file ran without an error
bool
RunFile(lua_State* aLua, const char* aPath)
{
  lua_settop(aLua, 0);
  lua_pushcfunction(aLua, WithTraceback);
  if (luaL_loadfile(aLua, aPath) == LUA_OK &&
      lua_pcall(aLua, 0, 0, 1) == LUA_OK) {
    return true;
  }
  std::printf("FAILED %s\n", lua_tostring(aLua, -1));
  return false;
}

/// Prints the last lines of every process's log, for a failed scenario.
void
PrintLogs(const std::string& aDirectory)
{
  constexpr std::size_t kTail = 2000;
  for (const auto& entry : std::filesystem::directory_iterator(aDirectory)) {
    if (entry.path().extension() != ".err") {
      continue;
    }
    std::ifstream file(entry.path());
    std::string text((std::istreambuf_iterator<char>(file)), {});
    if (text.size() > kTail) {
      text = text.substr(text.size() - kTail);
    }
    std::printf("--- %s\n%s\n", entry.path().filename().c_str(), text.c_str());
  }
}

bool
RunScenario(char** aArguments, const std::string& aDirectory)
{
  ScenarioContext context(aDirectory);
  context.mPrograms = ReadPrograms(aArguments[1]);
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             lua_close);
  luaL_openlibs(lua.get());
  RegisterPrimitives(lua.get(), context);
  constexpr int kInstructions = 1000;
  lua_sethook(lua.get(), CheckInterrupted, LUA_MASKCOUNT, kInstructions);
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
  signal(SIGTERM, Interrupt);
  signal(SIGINT, Interrupt);
  signal(SIGALRM, Interrupt);
  alarm(kLimitSeconds);
  std::string directory =
    (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(directory.data()) == nullptr) {
    std::fprintf(stderr, "can't create %s\n", directory.c_str());
    return 2;
  }
  const bool passed = RunScenario(aArguments, directory);
  if (!passed) {
    PrintLogs(directory);
  }
  std::filesystem::remove_all(directory);
  return passed ? 0 : 1;
}
