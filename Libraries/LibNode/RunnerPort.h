#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle {

/// The runner to which a request is sent.
struct RunnerTarget
{
  std::string mAddress;
  /// The runner's id. If another runner is at the address by now, it rejects
  /// the request.
  std::string mId;
};

/// Renews the lease of a runner and asks which tasks run and which have ended.
struct RenewalRequest
{
  /// Epoch of the shard's owner. A runner rejects requests with a lower token
  /// than the highest it has seen.
  std::int64_t mFencingToken = 0;
  /// Number of the last ended run that the owner has stored; the runner need
  /// not report it and those before it any more.
  std::int64_t mAcknowledgedEnd = 0;
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock; 0: no lease.
  /// The runner answers when a run ends, but at the latest after this time.
  Millis mWait{ 0 };
};

/// The result of a request to a runner.
enum class RunnerResult
{
  Done,
  Fenced,      ///< The runner has seen a request of a later owner.
  WrongRunner, ///< The process at the address is not the runner named.
  /// The run number is not above that of a run of the task that ended there.
  OldRunNumber,
  LeaseAlreadyEnded, ///< The lease in the request had ended on arrival.
  NotEnoughCapacity, ///< The runner lacks free capacity for the task.
  TicketRejected,    ///< The runner did not accept the ticket of a start.
  Unhealthy,         ///< The runner refuses work and has done nothing.
  Invalid,           ///< The runner rejects the request as malformed.
  NotSent,           ///< The request did not leave this process.
  /// There was no answer; the runner may act on the request, even later.
  Unknown
};

/// The answer to a renewal; the report is only valid if the result is Done.
struct RenewalOutcome
{
  RunnerResult mResult = RunnerResult::Unknown;
  dispatch::RunnerReport mReport;
};

/// Starts a run of a task.
struct StartRequest
{
  std::string mTask;
  std::int64_t mRun = 0; ///< Run numbers of a task rise with each start.
  std::string mPayload;
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock.
  std::int64_t mFencingToken = 0;
  /// Checkpoint from which the run resumes; empty: it starts from the
  /// beginning.
  std::string mCheckpoint;
  std::string mStartTicket;
};

/// Stops or throttles a run.
struct RunChangeRequest
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::int64_t mFencingToken = 0;
  /// Speed at which the run may go on, in percent; only for throttling.
  std::int32_t mPercent = 0;
};

/// The requests to runners. Each function calls its handler exactly once, after
/// it has returned.
struct RunnerPort
{
  std::function<void(const RunnerTarget&,
                     RenewalRequest,
                     std::function<void(RenewalOutcome)>)>
    mRenew;
  std::function<
    void(const RunnerTarget&, StartRequest, std::function<void(RunnerResult)>)>
    mStart;
  std::function<void(const RunnerTarget&,
                     RunChangeRequest,
                     std::function<void(RunnerResult)>)>
    mStop;
  std::function<void(const RunnerTarget&,
                     RunChangeRequest,
                     std::function<void(RunnerResult)>)>
    mThrottle;
};

} // namespace paddle
