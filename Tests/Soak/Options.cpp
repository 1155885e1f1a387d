#include "Options.h"

#include <cstdio>

#include <CLI/CLI.hpp>

namespace paddle::soak {

int
ParseOptions(int aCount, const char* const* aArguments, Options& aOptions)
{
  CLI::App app("Plays nodes under trouble and checks that no task runs twice");
  std::vector<std::string> kinds;
  for (const TroubleKind& kind : kTroubleKinds) {
    kinds.emplace_back(kind.mName);
    if (kind.mPauseMs > 0) {
      aOptions.mTrouble.emplace_back(kind.mName);
    }
  }
  bool list = false;
  app.add_option("--seed", aOptions.mSeed);
  app.add_option("--seconds", aOptions.mSeconds)->check(CLI::Range(1, 600));
  app.add_option("--nodes", aOptions.mNodes)->check(CLI::Range(1, 9));
  app.add_option("--runners", aOptions.mRunners)->check(CLI::Range(1, 60));
  app.add_option("--trouble", aOptions.mTrouble)
    ->delimiter(',')
    ->check(CLI::IsMember(kinds));
  app.add_option("--folder", aOptions.mFolder);
  app.add_flag("--list", list, "Show the kinds of trouble");
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  for (const TroubleKind& kind : kTroubleKinds) {
    if (list) {
      std::printf("%-8s %s\n", kind.mName, kind.mText);
    }
  }
  return list ? 0 : -1;
}

} // namespace paddle::soak
