#include <CLI/CLI.hpp>
#include <cstdio>

#include <LibBase/Log.h>
#include <StandIns/Caller/Accounting.h>
#include <StandIns/Caller/LoadRun.h>

using namespace paddle;

namespace {

/// Longest time to wait after the load until the runners have no request in
/// progress.
constexpr Millis kIdleTimeout{ 30000 };

/// The command-line arguments as given; CompleteOptions() parses them into
/// mLoad.
struct Arguments
{
  std::vector<std::string> mGateways;
  std::vector<std::string> mDirect;
  std::string mService;
  std::string mMix = "orders=30,reads=70";
  std::string mAccountingRunner;
  unsigned mAnswerTimeoutMs = 5000;
  LoadOptions mLoad;
};

/// Fills in the load options that need parsing.
/// @return a description of the first invalid argument, or an empty text
std::string
CompleteOptions(Arguments& aArguments)
{
  LoadOptions& load = aArguments.mLoad;
  load.mDirect = !aArguments.mDirect.empty();
  const auto& targets =
    load.mDirect ? aArguments.mDirect : aArguments.mGateways;
  for (const std::string& target : targets) {
    auto endpoint = ParseEndpoint(target);
    if (!Succeeded(endpoint)) {
      return ErrorOf(endpoint).mMessage;
    }
    load.mTargets.push_back(ValueOf(endpoint));
  }
  if (load.mTargets.empty()) {
    return "either --gateways or --direct is needed";
  }
  auto mix = ParseCallMix(aArguments.mMix);
  if (!Succeeded(mix)) {
    return ErrorOf(mix).mMessage;
  }
  load.mPlan.mMix = ValueOf(mix);
  load.mRoute.mPrefix = load.mDirect ? "" : "/" + aArguments.mService;
  load.mRoute.mAnswerTimeout = Millis(aArguments.mAnswerTimeoutMs);
  return {};
}

/// @return how many calls ended with the result
std::uint64_t
CountOf(const LoadReport& aReport, CallResult aResult)
{
  const auto found = aReport.mResults.find(aResult);
  return found == aReport.mResults.end() ? 0 : found->second;
}

/// @return the key=value fields of the load
std::string
Summary(const LoadReport& aReport)
{
  const auto quantile = [&](double aQuantile) {
    return QuantileOf(aReport.mLatencies, aQuantile).count();
  };
  return FormatFields(
    { { "planned", aReport.mPlanned },
      { "skipped", aReport.mSkipped },
      { "retried", aReport.mRetried },
      { "answered", CountOf(aReport, CallResult::Answered) },
      { "refused", CountOf(aReport, CallResult::Refused) },
      { "unknown", CountOf(aReport, CallResult::Unknown) },
      { "broken", CountOf(aReport, CallResult::Broken) },
      { "timed_out", CountOf(aReport, CallResult::TimedOut) },
      { "wrong", CountOf(aReport, CallResult::Wrong) },
      { "rejected", CountOf(aReport, CallResult::Rejected) },
      { "not_sent", CountOf(aReport, CallResult::NotSent) },
      { "p50_us", quantile(0.5) },
      { "p99_us", quantile(0.99) },
      { "p999_us", quantile(0.999) },
      { "longest_refusal_us", aReport.mLongestRefusal.count() } });
}

/// @return the key=value fields of the comparison with the runners
std::string
Summary(const AccountingReport& aReport)
{
  return FormatFields(
    { { "lost", aReport.mAnsweredNotRun },
      { "refused_run", aReport.mRunThoughRefused },
      { "doubled", aReport.mRunRepeatedly },
      { "slot_violations", aReport.mSlotViolations },
      { "highest_in_progress", aReport.mHighestInProgress },
      { "connection_violations", aReport.mConnectionViolations },
      { "highest_connections", aReport.mHighestConnections } });
}

/// Sends the load, compares it with the runners' counts if --account is given,
/// and prints one line of key=value fields.
/// @return the exit code: 0 if no answer was wrong and the comparison found no
///         order lost, run though refused or run repeatedly; otherwise 1, or 2
///         if the comparison could not be made
int
RunAndPrint(const Arguments& aArguments)
{
  const LoadReport report = RunLoad(aArguments.mLoad);
  for (const auto& [detail, count] : report.mDetails) {
    std::fprintf(stderr,
                 "%llu x %s\n",
                 static_cast<unsigned long long>(count),
                 detail.c_str());
  }
  std::string line = Summary(report);
  bool good = CountOf(report, CallResult::Wrong) == 0;
  if (!aArguments.mAccountingRunner.empty()) {
    auto runner = ParseEndpoint(aArguments.mAccountingRunner);
    if (!Succeeded(runner)) {
      std::fprintf(stderr, "%s\n", ErrorOf(runner).mMessage.c_str());
      return 2;
    }
    auto account =
      CompareWithRunners(report.mOrders, ValueOf(runner), kIdleTimeout);
    if (!Succeeded(account)) {
      std::fprintf(stderr, "%s\n", ErrorOf(account).mMessage.c_str());
      return 2;
    }
    const AccountingReport& found = ValueOf(account);
    line += " " + Summary(found);
    good = good && found.mAnsweredNotRun == 0 && found.mRunThoughRefused == 0 &&
           found.mRunRepeatedly == 0;
  }
  std::printf("%s\n", line.c_str());
  return good ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Sends an open-loop load and accounts for every request.",
               "standin-caller");
  Arguments arguments;
  LoadOptions& load = arguments.mLoad;
  app.add_option("--gateways", arguments.mGateways, "IP:PORT,...")
    ->delimiter(',');
  app.add_option("--direct", arguments.mDirect, "runners to call directly")
    ->delimiter(',');
  app.add_option("--service", arguments.mService, "service to call");
  app.add_option("--rate", load.mPlan.mCallsPerSecond, "calls per second");
  app.add_option("--seconds", load.mDurationSeconds, "length of the load");
  app.add_option("--concurrency", load.mConcurrency, "most calls in flight");
  app.add_option("--retries", load.mRetries, "repeats after doubtful ends");
  app.add_option("--seed", load.mPlan.mSeed, "seed of the load");
  app.add_option("--name", load.mPlan.mName, "part of each key");
  app.add_option("--mix", arguments.mMix, "orders=N,reads=N,watches=N");
  app.add_option("--order-path", load.mPlan.mOrderPath, "path of orders");
  app.add_option("--read-path", load.mPlan.mReadPath, "path of reads");
  app.add_option("--watch-path", load.mPlan.mWatchPath, "path of watches");
  app.add_option("--customer", load.mRoute.mClientAccount, "customer name");
  app.add_option("--deadline-ms", load.mRoute.mDeadlineMs, "short deadline");
  app.add_option(
    "--patience-ms", arguments.mAnswerTimeoutMs, "caller's time-out");
  app.add_option(
    "--account", arguments.mAccountingRunner, "a runner to ask for runs");
  CLI11_PARSE(app, aCount, aArguments);
  const std::string problem = CompleteOptions(arguments);
  if (!problem.empty()) {
    std::fprintf(stderr, "%s\n", problem.c_str());
    return 2;
  }
  return RunAndPrint(arguments);
}
