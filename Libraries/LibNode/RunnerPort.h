#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle {

/// The runner to which an order is sent.
struct RunnerTarget
{
  std::string mAddress;
  /// The runner's id. If another runner is at the address by now, it rejects
  /// the order.
  std::string mId;
};

/// Order that renews the lease of a runner and asks which tasks run and which
/// have ended.
struct RenewalOrder
{
  /// See FencingTokens.h. A runner rejects orders with a lower token than the
  /// highest it has seen.
  std::int64_t mFencingToken = 0;
  /// Number of the last ended run that the owner has stored; the runner need
  /// not report it and those before it any more. The port sends it only if the
  /// answers on the connection are from mAcknowledgedProcess: another process
  /// under the same id numbers its ends anew, and would forget some that were
  /// not read.
  std::int64_t mAcknowledgedEnd = 0;
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock; 0: no lease.
  /// The runner answers when a run ends, but at the latest after this time.
  Millis mLongPollTimeout{ 0 };
  /// Process whose ends mAcknowledgedEnd counts, see RunnerSpec::mIncarnation.
  std::int64_t mAcknowledgedProcess = 0;
};

/// The result of an order to a runner.
enum class RunnerResult
{
  Done,
  Fenced,      ///< The runner has seen an order of a later owner.
  WrongRunner, ///< The process at the address is not the runner named.
  /// The run number is not above that of a run of the task that ended there.
  OldRunNumber,
  LeaseAlreadyEnded, ///< The lease in the order had ended on arrival.
  NotEnoughCapacity, ///< The runner lacks free capacity for the task.
  TicketRejected,    ///< The runner did not accept the ticket of a start.
  Unhealthy,         ///< The runner refuses work and has done nothing.
  Invalid,           ///< The runner rejects the order as malformed.
  NotSent,           ///< The order did not leave this process.
  /// There was no answer; the runner may act on the order, even later.
  Unknown
};

/// @return the name of a result in the log
std::string_view
NameOf(RunnerResult aResult);

/// The answer to a renewal; the report is only valid if the result is Done.
struct RenewalOutcome
{
  RunnerResult mResult = RunnerResult::Unknown;
  dispatch::RunnerReport mReport;
};

/// Order to start a run of a task.
struct StartOrder
{
  std::string mTask;            ///< Name of the task, see FormatTaskName().
  std::int64_t mRun = 0;        ///< Run numbers of a task rise with each start.
  std::string mPayload;         ///< Opaque text of the job for its tasks.
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock.
  std::int64_t mFencingToken = 0;
  /// Checkpoint from which the run resumes; empty: it starts from the
  /// beginning.
  std::string mCheckpoint;
  /// Ticket that the runner checks before it starts the run, or empty.
  std::string mStartTicket;
  /// Asked just before the order is sent: whether this node may still send it
  /// and the run is still to be started. An order that is not sent then has the
  /// result NotSent. Without a function, the order is always sent.
  std::function<bool()> mStillWanted = nullptr;
};

/// Order to stop a run or to set its pace.
struct RunChangeOrder
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::int64_t mFencingToken = 0;
  /// Pace of the run: the percentage of its full speed to which the runner is
  /// to throttle it. An order to stop does not use it.
  std::int32_t mPacePercent = 0;
};

/// The orders to runners. Each function calls its handler exactly once, after
/// it has returned.
struct RunnerPort
{
  std::function<void(const RunnerTarget&,
                     RenewalOrder,
                     std::function<void(RenewalOutcome)>)>
    mRenew;
  std::function<
    void(const RunnerTarget&, StartOrder, std::function<void(RunnerResult)>)>
    mStart;
  std::function<void(const RunnerTarget&,
                     RunChangeOrder,
                     std::function<void(RunnerResult)>)>
    mStop;
  std::function<void(const RunnerTarget&,
                     RunChangeOrder,
                     std::function<void(RunnerResult)>)>
    mSetPace;
};

} // namespace paddle
