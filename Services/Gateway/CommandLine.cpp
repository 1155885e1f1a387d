#include "CommandLine.h"

#include <CLI/CLI.hpp>

namespace paddle {

Outcome<std::string>
ReadCommandLine(int aCount, const char* const* aArguments)
{
  CLI::App app("The gateway of savorypaddle: routes requests to runners.");
  std::string settings;
  app.add_option("--settings", settings, "settings of this process (JSON)")
    ->required();
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::CallForHelp&) {
    return Error{ ErrorKind::InvalidInput, app.help() };
  } catch (const CLI::ParseError& e) {
    return Error{ ErrorKind::InvalidInput,
                  std::string(e.what()) + "\n" + app.help() };
  }
  return settings;
}

} // namespace paddle
