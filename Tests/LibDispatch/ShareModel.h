#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// How the model chooses the next job when not all can run.
enum class SharePolicy : std::uint8_t
{
  None, ///< By priority and arrival, as without accounts.
  /// Start-time fair queueing between accounts. The work of a job is estimated
  /// half as large or one and a half times as large as it is.
  FairQueueing,
  DominantShares, ///< Lowest dominant share relative to the weight.
  /// Jobs within the entitlement by priority, then the surplus by priority and
  /// dominant share.
  EntitlementOrder,
  /// The same, and surplus jobs leave room for those within the entitlement, as
  /// the dispatcher does.
  Entitlement
};

/// Jobs whose times are compared.
enum class ShareGroup : std::uint8_t
{
  HotEntitled,
  HotSurplus,
  OtherSmall,
  OtherLarge
};

/// Load of the model: 20 accounts whose weights sum up to 138. Small jobs
/// reserve a core for a second and have the higher priority. One job in 100 is
/// large: a best-effort one of 8 cores for 4 s.
struct ShareLoad
{
  std::uint64_t mSeed = 1;
  std::uint32_t mRunners = 11; ///< Of 16 cores and 64 GB.
  /// What accounts usually send, relative to their entitlement. The runners are
  /// used to 80% then.
  double mUsualRate = 0.8;
  /// The factor by which an account with the highest weight sends more in the
  /// hot time.
  double mHotFactor = 7.5;
  Seconds mWarmUp{ 10 };
  Seconds mHotTime{ 10 };
  Seconds mAfter{ 20 }; ///< Jobs that arrive in this time are compared, too.
};

/// Times from arrival to completion in seconds.
using ShareTimes = std::map<ShareGroup, std::vector<double>>;

/// Adds the times of the jobs that arrive from the beginning of the hot time
/// on.
void
RunShareModel(SharePolicy aPolicy, const ShareLoad& aLoad, ShareTimes& aTimes);

/// @return a percentile, or 0 if there are no times
double
Percentile(std::vector<double> aTimes, double aPercent);

} // namespace paddle::dispatch
