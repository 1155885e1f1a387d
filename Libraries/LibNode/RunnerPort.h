#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <LibDispatch/Runner.h>
#include <LibTime/Time.h>

namespace paddle {

/// Where an order goes and under whose authority.
struct RunnerTarget
{
  std::string mAddress;
  std::string mId; ///< Another runner at the address rejects the order.
};

struct RenewOrder
{
  std::int64_t mToken = 0;
  std::int64_t mAcknowledge = 0;
  std::int64_t mLeaseEndMs = 0; ///< On the runner's clock; 0: no lease.
  Millis mWait{ 0 };            ///< The answer waits this long for an end.
};

enum class OrderResult
{
  Done,
  Fenced,        ///< A later owner has given orders.
  OtherInstance, ///< The process at the address is not the one named.
  Outdated,      ///< The run number is not above one that ended there.
  TooLate,       ///< The lease in the order has ended already.
  NoRoom,
  NoTicket,
  Unhealthy, ///< The runner refuses work and has done nothing.
  Invalid,   ///< The runner does not accept the order as it stands.
  NotSent,
  Unknown ///< No answer; it may be carried out, also later.
};

struct RenewOutcome
{
  OrderResult mResult = OrderResult::Unknown;
  dispatch::RunnerReport mReport;
};

struct StartOrder
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::string mPayload;
  std::int64_t mLeaseEndMs = 0;
  std::int64_t mToken = 0;
  std::string mSaved;
  std::string mTicket;
};

struct RunOrder
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::int64_t mToken = 0;
  std::int32_t mPercent = 0; ///< Only for a change of pace.
};

/// The orders to runners. Each calls its handler exactly once, later.
struct RunnerPort
{
  std::function<
    void(const RunnerTarget&, RenewOrder, std::function<void(RenewOutcome)>)>
    mRenew;
  std::function<
    void(const RunnerTarget&, StartOrder, std::function<void(OrderResult)>)>
    mStart;
  std::function<
    void(const RunnerTarget&, RunOrder, std::function<void(OrderResult)>)>
    mStop;
  std::function<
    void(const RunnerTarget&, RunOrder, std::function<void(OrderResult)>)>
    mPace;
};

} // namespace paddle
