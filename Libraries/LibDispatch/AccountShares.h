#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <LibDispatch/AccountUse.h>
#include <LibTime/Time.h>

namespace paddle::dispatch {

struct Dispatcher;
struct Job;

// Where the configuration lists client accounts, each is entitled to a rate of
// jobs. A job that arrives beyond it is surplus: it is placed after all jobs
// that are not, and among the surplus jobs those of the account with the lowest
// dominant share relative to its weight go first.

/// Token bucket of a client account. Each job takes a token; a job that finds
/// none is surplus.
struct Entitlement
{
  double mTokens = 0;
  /// Up to when tokens have been added; nothing before the first job, which
  /// finds the bucket full.
  std::optional<MonotonicTime> mFilledAt;
};

/// Takes a token for a job.
/// @param aJobsPerS tokens that are added each second; the bucket holds those
///                  of two seconds, but at least one
/// @param aArrivedAt when the job arrived. An earlier time than that of the
///                   job before adds no tokens.
/// @return whether there was a token
bool
TakeToken(Entitlement& aEntitlement,
          double aJobsPerS,
          MonotonicTime aArrivedAt);

/// What the tasks of a shard may use together.
struct ShareTotals
{
  Resources mReserved{}; ///< Of all runners that may be used now.
  /// Processors that best-effort tasks may use, whether they do or not.
  std::int64_t mBestEffortMilliCores = 0;
};

/// @return the totals of the shard. At least what is in use counts, so that no
///         share exceeds 1.
ShareTotals
ShareTotalsOf(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return the largest of the fractions of the totals that are in use, 0 to 1
double
DominantShare(const AccountUse& aUse, const ShareTotals& aTotals);

/// @return the weight of an account; 1 if the configuration does not list it
double
WeightOf(const Dispatcher& aDispatcher, std::string_view aAccount);

/// @return the dominant share of an account divided by its weight
double
WeightedShare(const Dispatcher& aDispatcher,
              std::string_view aAccount,
              const ShareTotals& aTotals);

/// @return whether the job arrived beyond the entitlement of its account; false
///         while the configuration has no accounts
bool
IsSurplus(const Dispatcher& aDispatcher, const Job& aJob);

/// Decides which of the jobs that were added since the last call are surplus,
/// in the order of their arrival. Jobs are added in another order, all at once,
/// when this owner takes the shard over.
void
MarkSurplusJobs(Dispatcher& aDispatcher);

/// Limits the log lines that say that surplus jobs of an account wait.
struct ShareWaitLog
{
  std::optional<MonotonicTime> mLoggedAt;
  std::uint64_t mSuppressed = 0; ///< Lines left out since then.
};

/// Logs for which accounts surplus tasks wait that could have been placed since
/// the last call, but others were placed before them. It must be called before
/// the placement order is replaced.
void
LogShareWaits(Dispatcher& aDispatcher, MonotonicTime aNow);

} // namespace paddle::dispatch
