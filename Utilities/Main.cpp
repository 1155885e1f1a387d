#include <iostream>

#include <LibBase/JsonReader.h>
#include <LibBase/Log.h>
#include <Utilities/CommandLine.h>
#include <Utilities/RunCommand.h>

int
main(int aCount, char** aArguments)
{
  using namespace paddle;
  const auto parsed = ParseCommandLine(aCount, aArguments);
  if (const int* exit = std::get_if<int>(&parsed)) {
    return *exit;
  }
  StartLogging("savorypaddle", LogLevel::Warning);
  const Invocation& invocation = std::get<Invocation>(parsed);
  const ControlResult result = RunCommand(invocation);
  if (invocation.mOutputFormat == OutputFormat::Json) {
    std::cout << WriteJson(result.mJson) << "\n";
  } else {
    (result.mExit == ExitCode::Done ? std::cout : std::cerr) << result.mText;
  }
  return static_cast<int>(result.mExit);
}
