#include <Utilities/RunCommand.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include <LibControl/ApplyCommand.h>
#include <LibControl/AuditCommand.h>
#include <LibControl/DataCentreCommands.h>
#include <LibControl/ExplainCommand.h>
#include <LibControl/JobCommands.h>
#include <LibControl/ReleaseCommand.h>
#include <LibControl/StatusCommand.h>
#include <LibControl/TimeText.h>
#include <LibRpc/RpcClient.h>
#include <LibTable/RpcPorts.h>

namespace paddle {

namespace {

/// @return the contents of a file
Outcome<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || !text) {
    return Error{ ErrorKind::InvalidInput, "file " + aPath + " can't be read" };
  }
  return text.str();
}

/// @return settings with which the table service, the object store and the host
///         list are reached at the one address that the user gave
Outcome<PlatformSettings>
PlatformSettingsOf(const Invocation& aInvocation)
{
  if (aInvocation.mPlatform.empty()) {
    return Error{ ErrorKind::InvalidInput,
                  "the platform's address is missing: give --platform IP:PORT "
                  "or set PADDLE_PLATFORM" };
  }
  const Outcome<Endpoint> address = ParseEndpoint(aInvocation.mPlatform);
  if (!Succeeded(address)) {
    return Error{ ErrorKind::InvalidInput,
                  "--platform: " + ErrorOf(address).mMessage };
  }
  return PlatformSettings{ ValueOf(address),
                           ValueOf(address),
                           ValueOf(address),
                           Millis(aInvocation.mTimeoutMs) };
}

/// Connects the ports of LibControl to the platform and to the clocks.
ControlPorts
MakePorts(HttpClient& aClient, const PlatformSettings& aPlatform)
{
  ControlPorts ports;
  ports.mTable = MakeRpcTablePort(aClient, aPlatform);
  ports.mObjects = MakeRpcObjectPort(aClient, aPlatform);
  ports.mCall = [&aClient,
                 timeout = aPlatform.mTimeout](const Endpoint& aAddress,
                                               const std::string& aMethod,
                                               const Json::Value& aParameters) {
    return CallRpc(aClient, aAddress, aMethod, aParameters, timeout);
  };
  ports.mNow = [] { return std::chrono::system_clock::now(); };
  ports.mMonotonicNow = [] { return std::chrono::steady_clock::now(); };
  ports.mSleep = [](Millis aTime) { std::this_thread::sleep_for(aTime); };
  return ports;
}

/// @return which decision records to read; those of the last 15 minutes if the
///         user gave no start
Outcome<RecordWindow>
RecordWindowOf(const Invocation& aInvocation)
{
  constexpr std::chrono::minutes kDefaultWindow{ 15 };
  RecordWindow window;
  window.mMember = aInvocation.mMember;
  window.mMaxBatches = aInvocation.mMaxBatches;
  window.mSince = std::chrono::system_clock::now() - kDefaultWindow;
  if (!aInvocation.mSince.empty()) {
    const auto since = ParseTimeText(aInvocation.mSince);
    if (!since) {
      return Error{ ErrorKind::InvalidInput,
                    "--since must be a time in UTC like 2026-12-04T09:30, is "
                    "\"" +
                      aInvocation.mSince + "\"" };
    }
    window.mSince = *since;
  }
  return window;
}

/// Runs a command that sends the contents of a file: submit or apply.
ControlResult
RunFileCommand(const Invocation& aInvocation, const ControlPorts& aPorts)
{
  const Outcome<std::string> text = ReadFile(aInvocation.mSubject);
  if (!Succeeded(text)) {
    return ReadFailure(ErrorOf(text));
  }
  if (aInvocation.mCommand == Command::Submit) {
    return SubmitJob(
      aPorts, aInvocation.mSubject, ValueOf(text), aInvocation.mJobId);
  }
  return ApplyDocument(
    aPorts,
    { aInvocation.mWho, aInvocation.mWhy },
    { aInvocation.mSubject, ValueOf(text), aInvocation.mExpectedVersion });
}

/// Runs a command that reads decision records: explain or fairness.
ControlResult
RunRecordCommand(const Invocation& aInvocation, const ControlPorts& aPorts)
{
  const Outcome<RecordWindow> window = RecordWindowOf(aInvocation);
  if (!Succeeded(window)) {
    return ReadFailure(ErrorOf(window));
  }
  if (aInvocation.mCommand == Command::Fairness) {
    return ShowFairness(aPorts, ValueOf(window), aInvocation.mSubject);
  }
  return ExplainSubject(
    aPorts, ValueOf(window), aInvocation.mSubject, aInvocation.mOtherSubject);
}

/// Runs any command that needs the platform, which is all but check.
ControlResult
RunPlatformCommand(const Invocation& aInvocation, const ControlPorts& aPorts)
{
  const Author author{ aInvocation.mWho, aInvocation.mWhy };
  switch (aInvocation.mCommand) {
    case Command::Drain:
      return DrainDataCentre(aPorts, author, aInvocation.mSubject);
    case Command::Return:
      return ReturnDataCentre(aPorts, author, aInvocation.mSubject);
    case Command::Release:
      return ReleaseMember(aPorts, author, aInvocation.mSubject);
    case Command::Cancel:
      return CancelJob(aPorts, author, aInvocation.mSubject);
    case Command::Audit:
      return ShowAudit(aPorts, aInvocation.mSince);
    case Command::Apply:
    case Command::Submit:
      return RunFileCommand(aInvocation, aPorts);
    case Command::Explain:
    case Command::Fairness:
      return RunRecordCommand(aInvocation, aPorts);
    case Command::Status:
    case Command::Check:
      break;
  }
  return ShowStatus(aPorts);
}

} // namespace

ControlResult
RunCommand(const Invocation& aInvocation)
{
  if (aInvocation.mCommand == Command::Check) {
    const Outcome<std::string> text = ReadFile(aInvocation.mSubject);
    return Succeeded(text)
             ? CheckDocumentFile(aInvocation.mSubject, ValueOf(text))
             : ReadFailure(ErrorOf(text));
  }
  const Outcome<PlatformSettings> platform = PlatformSettingsOf(aInvocation);
  if (!Succeeded(platform)) {
    return ReadFailure(ErrorOf(platform));
  }
  HttpClientSettings settings;
  settings.mUserAgent = "savorypaddle/command-line";
  HttpClient client(settings);
  return RunPlatformCommand(aInvocation, MakePorts(client, ValueOf(platform)));
}

} // namespace paddle
