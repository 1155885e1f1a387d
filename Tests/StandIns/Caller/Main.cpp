#include <CLI/CLI.hpp>
#include <cstdio>

#include <LibBase/Log.h>
#include <StandIns/Caller/Accounting.h>
#include <StandIns/Caller/LoadRun.h>

using namespace paddle;

namespace {

constexpr Millis kAccountLimit{ 30000 };

struct Arguments
{
  std::vector<std::string> mGateways;
  std::vector<std::string> mDirect;
  std::string mService;
  std::string mMix = "orders=30,reads=70";
  std::string mAccount;
  unsigned mPatienceMs = 5000;
  LoadOptions mLoad;
};

/// Completes the load options; returns a problem or an empty text.
std::string
Complete(Arguments& aArguments)
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
  load.mRoute.mPatience = Millis(aArguments.mPatienceMs);
  return {};
}

std::uint64_t
CountOf(const LoadReport& aReport, CallResult aResult)
{
  const auto found = aReport.mResults.find(aResult);
  return found == aReport.mResults.end() ? 0 : found->second;
}

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

std::string
Summary(const AccountingReport& aReport)
{
  return FormatFields(
    { { "lost", aReport.mLost },
      { "refused_run", aReport.mRefusedRun },
      { "doubled", aReport.mDoubled },
      { "slot_violations", aReport.mSlotViolations },
      { "highest_in_progress", aReport.mHighestInProgress },
      { "connection_violations", aReport.mConnectionViolations },
      { "highest_connections", aReport.mHighestConnections } });
}

/// Runs the load and prints its line.
/// @return the exit code: 0 only if nothing was lost, doubled or wrong
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
  if (!aArguments.mAccount.empty()) {
    auto runner = ParseEndpoint(aArguments.mAccount);
    if (!Succeeded(runner)) {
      std::fprintf(stderr, "%s\n", ErrorOf(runner).mMessage.c_str());
      return 2;
    }
    auto account = Account(report.mOrders, ValueOf(runner), kAccountLimit);
    if (!Succeeded(account)) {
      std::fprintf(stderr, "%s\n", ErrorOf(account).mMessage.c_str());
      return 2;
    }
    const AccountingReport& found = ValueOf(account);
    line += " " + Summary(found);
    good =
      good && found.mLost == 0 && found.mRefusedRun == 0 && found.mDoubled == 0;
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
  app.add_option("--rate", load.mPlan.mRate, "calls per second");
  app.add_option("--seconds", load.mSeconds, "length of the load");
  app.add_option("--concurrency", load.mConcurrency, "most calls in flight");
  app.add_option("--retries", load.mRetries, "repeats after doubtful ends");
  app.add_option("--seed", load.mPlan.mSeed, "seed of the load");
  app.add_option("--name", load.mPlan.mName, "part of each key");
  app.add_option("--mix", arguments.mMix, "orders=N,reads=N,watches=N");
  app.add_option("--order-path", load.mPlan.mOrderPath, "path of orders");
  app.add_option("--read-path", load.mPlan.mReadPath, "path of reads");
  app.add_option("--watch-path", load.mPlan.mWatchPath, "path of watches");
  app.add_option("--customer", load.mRoute.mCustomer, "customer name");
  app.add_option("--deadline-ms", load.mRoute.mDeadlineMs, "short deadline");
  app.add_option("--patience-ms", arguments.mPatienceMs, "caller's time-out");
  app.add_option("--account", arguments.mAccount, "a runner to ask for runs");
  CLI11_PARSE(app, aCount, aArguments);
  const std::string problem = Complete(arguments);
  if (!problem.empty()) {
    std::fprintf(stderr, "%s\n", problem.c_str());
    return 2;
  }
  return RunAndPrint(arguments);
}
