#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdio>
#include <string>

#include <LibBase/ProcessSignals.h>

#include "../../platform/Process.h"
#include "NodeProcess.h"

int
main(int aCount, char** aArguments)
{
  paddle::BlockHangUp();
  CLI::App app("Runs one savorypaddle node on the platform.");
  std::string path = paddle::platform::SettingsPath();
  bool checkOnly = false;
  app.add_option("--settings",
                 path,
                 "settings file; default: the file that the platform names");
  app.add_flag("--check", checkOnly, "read the settings, report, and exit");
  CLI11_PARSE(app, aCount, aArguments);
  if (path.empty()) {
    std::fprintf(stderr, "no settings file: give --settings PATH\n");
    return 2;
  }
  const paddle::Outcome<paddle::platform::Settings> settings =
    paddle::platform::ReadSettings(path);
  if (!paddle::Succeeded(settings)) {
    std::fprintf(stderr, "%s\n", paddle::ErrorOf(settings).mMessage.c_str());
    return 2;
  }
  if (checkOnly) {
    std::printf("%s: valid\n", path.c_str());
    return 0;
  }
  return paddle::RunNode(paddle::ValueOf(settings), path);
}
