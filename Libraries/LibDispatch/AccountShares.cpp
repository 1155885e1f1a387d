#include <LibDispatch/AccountShares.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

namespace {

/// An account may save up its entitlement for this time.
constexpr double kBurstS = 2;
/// The tokens that are added between jobs at exactly the entitled rate may sum
/// up to slightly less than one, because of rounding.
constexpr double kTokenTolerance = 1e-6;
/// Shortest interval of the log lines about an account.
constexpr Seconds kLogInterval{ 1 };

double
Fraction(std::int64_t aUse, std::int64_t aTotal)
{
  return aTotal > 0 ? static_cast<double>(aUse) / static_cast<double>(aTotal)
                    : 0;
}

} // namespace

bool
TakeToken(Entitlement& aEntitlement, double aJobsPerS, MonotonicTime aArrivedAt)
{
  const double most = std::max(1.0, aJobsPerS * kBurstS);
  if (!aEntitlement.mFilledAt) {
    aEntitlement.mTokens = most;
    aEntitlement.mFilledAt = aArrivedAt;
  }
  const double seconds =
    std::chrono::duration<double>(aArrivedAt - *aEntitlement.mFilledAt).count();
  aEntitlement.mTokens =
    std::min(most, aEntitlement.mTokens + std::max(0.0, seconds) * aJobsPerS);
  aEntitlement.mFilledAt = std::max(*aEntitlement.mFilledAt, aArrivedAt);
  if (aEntitlement.mTokens < 1 - kTokenTolerance) {
    return false;
  }
  aEntitlement.mTokens = std::max(0.0, aEntitlement.mTokens - 1);
  return true;
}

ShareTotals
ShareTotalsOf(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  ShareTotals totals;
  Resources reserved;
  std::int64_t bestEffort = 0;
  for (const Runner& runner : aDispatcher.mRunners) {
    reserved += runner.mReserved;
    bestEffort += runner.mBestEffortMilliCores;
    if (runner.mPhase != RunnerPhase::Live || runner.mSpec.mDraining ||
        !WasRecentlyListed(runner, aNow) ||
        aDispatcher.mEvacuatedDataCentres.contains(runner.mSpec.mDataCentre)) {
      continue;
    }
    totals.mReserved += runner.mSpec.mCapacity;
    totals.mBestEffortMilliCores += std::max<std::int64_t>(
      0,
      UnusedMilliCores(runner) + runner.mBestEffortMilliCores -
        runner.mOvercommittedMilliCores);
  }
  Resources& most = totals.mReserved;
  most.mMilliCores = std::max(most.mMilliCores, reserved.mMilliCores);
  most.mMemoryMb = std::max(most.mMemoryMb, reserved.mMemoryMb);
  most.mAccelerators = std::max(most.mAccelerators, reserved.mAccelerators);
  totals.mBestEffortMilliCores =
    std::max(totals.mBestEffortMilliCores, bestEffort);
  return totals;
}

double
DominantShare(const AccountUse& aUse, const ShareTotals& aTotals)
{
  const Resources& used = aUse.mReserved;
  const Resources& total = aTotals.mReserved;
  return std::max(
    { Fraction(used.mMilliCores, total.mMilliCores),
      Fraction(used.mMemoryMb, total.mMemoryMb),
      Fraction(used.mAccelerators, total.mAccelerators),
      Fraction(aUse.mBestEffortMilliCores, aTotals.mBestEffortMilliCores) });
}

double
WeightOf(const Dispatcher& aDispatcher, std::string_view aAccount)
{
  const auto found = aDispatcher.mAccounts.find(aAccount);
  return found != aDispatcher.mAccounts.end() && found->second.mWeight > 0
           ? found->second.mWeight
           : 1;
}

double
WeightedShare(const Dispatcher& aDispatcher,
              std::string_view aAccount,
              const ShareTotals& aTotals)
{
  return DominantShare(UseOf(aDispatcher, aAccount), aTotals) /
         WeightOf(aDispatcher, aAccount);
}

bool
IsSurplus(const Dispatcher& aDispatcher, const Job& aJob)
{
  return aJob.mSurplus && !aDispatcher.mAccounts.empty();
}

void
MarkSurplusJobs(Dispatcher& aDispatcher)
{
  // Without queues, no configuration has been read yet.
  if (aDispatcher.mNewAccountJobs.empty() || aDispatcher.mQueues.empty()) {
    return;
  }
  std::vector<Job*> jobs;
  for (const std::string& id : std::exchange(aDispatcher.mNewAccountJobs, {})) {
    const auto found = aDispatcher.mJobs.find(id);
    if (found != aDispatcher.mJobs.end() && !aDispatcher.mAccounts.empty()) {
      jobs.push_back(found->second.get());
    }
  }
  std::sort(
    jobs.begin(), jobs.end(), [](const Job* aFirst, const Job* aSecond) {
      return std::tie(aFirst->mArrivedAt, aFirst->mArrivalNumber) <
             std::tie(aSecond->mArrivedAt, aSecond->mArrivalNumber);
    });
  // A job that was moved to another shard and back is listed twice.
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  for (Job* job : jobs) {
    const std::string& account = job->mSpec.mAccount;
    const double jobsPerS =
      WeightOf(aDispatcher, account) / std::max(1U, aDispatcher.mShardCount);
    job->mSurplus =
      !TakeToken(aDispatcher.mEntitlements[account], jobsPerS, job->mArrivedAt);
    aDispatcher.mCounters.mSurplusJobs += job->mSurplus ? 1 : 0;
  }
}

void
LogShareWaits(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  const DispatchCounters& counters = aDispatcher.mCounters;
  const std::uint64_t surplus =
    counters.mSurplusStarts -
    std::exchange(aDispatcher.mSurplusStartsSeen, counters.mSurplusStarts);
  const std::uint64_t entitled =
    counters.mStarts -
    std::exchange(aDispatcher.mStartsSeen, counters.mStarts) - surplus;
  if (aDispatcher.mSurplusRanges.empty() || entitled + surplus == 0) {
    return;
  }
  const auto isDue = [&](const std::string& aAccount) {
    const auto log = aDispatcher.mShareWaitLogs.find(aAccount);
    return log == aDispatcher.mShareWaitLogs.end() || !log->second.mLoggedAt ||
           aNow - *log->second.mLoggedAt >= kLogInterval;
  };
  std::map<std::string_view, std::uint32_t> waiting;
  for (const SurplusRange& range : aDispatcher.mSurplusRanges) {
    const bool due = isDue(range.mAccount);
    for (std::size_t i = range.mBegin; i < range.mEnd; ++i) {
      const WaitingStep& entry = aDispatcher.mPlacementOrder[i];
      // The job of an entry that waits no more may be unknown by now.
      if (aDispatcher.mWaitingSteps.contains(entry)) {
        waiting[range.mAccount] += StepOf(entry).mWaitingTasks;
        if (!due) {
          break; // No line will give the number.
        }
      }
    }
  }
  if (entitled == 0 && waiting.size() < 2) {
    return; // The only account waits for its own tasks.
  }
  const ShareTotals totals = ShareTotalsOf(aDispatcher, aNow);
  for (const auto& [account, tasks] : waiting) {
    ShareWaitLog& log = aDispatcher.mShareWaitLogs[std::string(account)];
    if (!isDue(std::string(account))) {
      ++log.mSuppressed;
      continue;
    }
    log.mLoggedAt = aNow;
    const AccountUse use = UseOf(aDispatcher, account);
    const auto permille =
      static_cast<std::int64_t>(1000 * DominantShare(use, totals));
    Emit(aDispatcher,
         "account_waits",
         nullptr,
         "account=" + std::string(account) + " cause=share" +
           " waiting=" + std::to_string(tasks) +
           " share_permille=" + std::to_string(permille) +
           " weight=" + std::to_string(WeightOf(aDispatcher, account)) +
           " cores=" + std::to_string(use.mReserved.mMilliCores) +
           " best_effort=" + std::to_string(use.mBestEffortMilliCores) +
           " memory_mb=" + std::to_string(use.mReserved.mMemoryMb) +
           " accelerators=" + std::to_string(use.mReserved.mAccelerators) +
           " entitled_starts=" + std::to_string(entitled) +
           " surplus_starts=" + std::to_string(surplus) +
           " suppressed=" + std::to_string(std::exchange(log.mSuppressed, 0)));
  }
}

} // namespace paddle::dispatch
