#pragma once

#include <cstdint>

#include <LibTime/Time.h>

namespace paddle::dispatch {

/// Limits and intervals of the dispatcher. The defaults apply where the
/// deployment sets none.
struct DispatchSettings
{
  /// Longest lease that a runner may be granted. The deployment sets it. An
  /// earlier owner may have granted as much.
  Millis mMaxLease{ 6000 };
  /// Longest lease that this owner grants, whatever longer one the deployment
  /// allows. The tasks of a runner that is lost run again only once its leases
  /// have ended, and a long-running task has to run again after 9 s.
  Millis mLongestGrantedLease{ 6000 };
  /// Longest lease that a runner is granted on the strength of an answer of a
  /// majority of the runners, while the store does not answer. It is short, as
  /// a later owner waits for it; a renewal is sent each 0.4 s then.
  Millis mIsolatedLease{ 3000 };
  /// Longest time for which interference may keep a long-running task over its
  /// tail latency target. The deployment sets it.
  Millis mMaxTimeOverTarget{ 4000 };
  /// Assumed ratio of this process's clock to the slowest runner clock. A
  /// runner's clock may run 2% slow; 1% is added for rounding.
  double mClockDriftFactor = 1.03;
  /// Added to the lease of a silent runner before its tasks are given up, to
  /// allow for scheduling delays of this process.
  Millis mLeaseExpiryMargin{ 150 };
  /// Longest time by which the platform carries out an order late.
  Millis mLongestOrderDelay{ 12000 };
  /// After its leases have ended, the finite tasks of a silent runner that is
  /// still listed are started elsewhere only after this time. The runner lives
  /// and may hold ends that this owner has not heard, so the tasks may have
  /// been done. The platform carries out an order up to 12 s late.
  Millis mUnheardEndsWait{ 12000 };
  /// A stop order whose run has not ended is sent again after this time. A
  /// round trip between regions takes 24 ms, and a stop takes at most 200 to
  /// 900 ms, depending on the deployment.
  Millis mStopRetryInterval{ 700 };
  /// The members of a gang that still run after this time without the others
  /// are stopped. The platform ends them, which is reported within a long poll.
  Millis mIncompleteGangTime{ 3000 };
  /// Longest time for which a runner delays its answer to a renewal while it
  /// has nothing new to report. Where best-effort tasks run beside long-running
  /// ones, renewals are more frequent, because the runner updates the tail
  /// latencies every half second.
  Millis mLongPollBesideServing{ 400 };
  Millis mLongPoll{ 900 };
  /// Long polls are stretched up to this while the owner is late. The platform
  /// allows 2 s; leases last 6 s.
  Millis mLongestPoll{ 1900 };
  /// Interval of requests to an idle runner, which keep its clock known.
  Millis mIdlePollInterval{ 3000 };
  /// That interval is stretched up to this while the owner is late. It must be
  /// less than mMaxClockReadingAge.
  Millis mLongestIdlePollInterval{ 6500 };
  /// No task is started on a runner whose latest clock reading is older.
  Millis mMaxClockReadingAge{ 8000 };
  /// Consecutive failures, of at least two jobs, after which a runner is
  /// quarantined. A long-running task of which as many runs have failed early,
  /// one after the other, is taken for the cause itself.
  std::uint32_t mFailuresToQuarantine = 3;
  /// Duration of the first quarantine. It doubles with each failed probation.
  Millis mFirstQuarantine{ 3000 };
  Millis mMaxQuarantine{ 24000 };
  /// A long-running task that has worked, or a finite one that has run, for
  /// this time ends the probation of its runner. Faulty runners fail tasks
  /// within a second.
  Millis mProbationTime{ 2000 };
  /// A long-running task that has run for this time without reporting that it
  /// works in full ends the probation as well, so that the next one waits less
  /// than 6 s.
  Millis mLongestProbation{ 5000 };
  /// Time without starts on a runner that refused one because it is unhealthy.
  Millis mUnhealthyBackOff{ 700 };
  /// Time without starts on a runner that refused one for another reason, such
  /// as lack of capacity.
  Millis mRefusalBackOff{ 300 };
  /// After this time of silence, the runs of a runner are recorded in the
  /// store. If only one answer was lost, the next arrives sooner.
  Millis mSilenceBeforeRecord{ 300 };
  /// Limit of start orders to one runner that it has not answered yet. The
  /// orders share a few connections, and one that queues for a connection until
  /// its time-out counts as unanswered.
  std::uint32_t mMaxUnansweredStarts = 12;
  /// Limit of start orders in one placement pass, so that a pass takes no more
  /// than a few milliseconds.
  std::uint32_t mMaxStartsPerPass = 64;
  /// Ratio of a task's duration on a runner outside its preferred rack to that
  /// inside it. The deployment sets it; with 1, no task waits for a rack, and
  /// steps choose none for their tasks.
  double mRemoteFactor = 1;
};

} // namespace paddle::dispatch
