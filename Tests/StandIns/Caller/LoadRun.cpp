#include <StandIns/Caller/LoadRun.h>

#include <algorithm>
#include <cmath>

#include <StandIns/Caller/GatewayPicker.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace paddle {

namespace {

namespace asio = boost::asio;
using asio::use_awaitable;

constexpr Millis kHealthInterval{ 100 };
constexpr Millis kRetryBackoff{ 200 };
/// Different details that a report counts; others are left out.
constexpr std::size_t kMaxDetails = 20;

/// @return whether a request with this result may have been run, although its
///         caller got no valid answer
bool
MayHaveRun(CallResult aResult)
{
  return aResult == CallResult::Unknown || aResult == CallResult::Broken ||
         aResult == CallResult::TimedOut || aResult == CallResult::Wrong;
}

/// Sends one open-loop load in a single thread.
class LoadGenerator
{
public:
  explicit LoadGenerator(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mPlan(aOptions.mPlan)
    , mPicker(aOptions.mTargets)
  {
  }

  /// Sends the load and waits until every call has ended.
  LoadReport Run()
  {
    for (std::size_t i = 0; i < mOptions.mTargets.size(); ++i) {
      asio::co_spawn(mContext, WatchHealth(i), asio::detached);
    }
    asio::co_spawn(mContext, StartCalls(), asio::detached);
    mContext.run();
    return std::move(mReport);
  }

private:
  asio::awaitable<void> Sleep(MonotonicTime aUntil)
  {
    asio::steady_timer timer(mContext, aUntil);
    co_await timer.async_wait(use_awaitable);
  }

  /// @return whether all calls have been started and have ended
  [[nodiscard]] bool Ended() const { return mAllStarted && mInFlight == 0; }

  /// Checks the health of a gateway periodically until the load has ended.
  asio::awaitable<void> WatchHealth(std::size_t aGateway)
  {
    while (!Ended()) {
      const bool up =
        mOptions.mDirect || co_await CheckHealth(mOptions.mTargets[aGateway]);
      mPicker.SetUp(aGateway, up);
      co_await Sleep(std::chrono::steady_clock::now() + kHealthInterval);
    }
  }

  /// Starts each call at its planned time, whether or not earlier ones have
  /// ended.
  asio::awaitable<void> StartCalls()
  {
    MonotonicTime due = std::chrono::steady_clock::now();
    const MonotonicTime end =
      due + Micros(static_cast<Micros::rep>(mOptions.mDurationSeconds * 1e6));
    for (due += mPlan.NextGap(); due < end; due += mPlan.NextGap()) {
      co_await Sleep(due);
      ++mReport.mPlanned;
      PlannedCall call = mPlan.NextCall();
      if (mInFlight >= mOptions.mConcurrency) {
        ++mReport.mSkipped;
        continue;
      }
      ++mInFlight;
      asio::co_spawn(mContext, RunCall(std::move(call), due), asio::detached);
    }
    mAllStarted = true;
  }

  /// Sends a call, repeats it while it may have run, and records the result.
  /// @param aDue the planned start of the call
  asio::awaitable<void> RunCall(PlannedCall aCall, MonotonicTime aDue)
  {
    OrderRecord record{ aCall.mKey, CallResult::NotSent, false };
    for (unsigned tries = 0;; ++tries) {
      const CallReply reply = co_await SendToAnyTarget(aCall);
      record.mResult = reply.mResult;
      CountDetail(reply);
      if (!MayHaveRun(reply.mResult)) {
        break;
      }
      record.mSomeTryMayHaveRun = true;
      if (tries == mOptions.mRetries) {
        break;
      }
      ++mReport.mRetried;
      co_await Sleep(std::chrono::steady_clock::now() + kRetryBackoff);
    }
    RecordResult(aCall, record, aDue);
    --mInFlight;
  }

  /// Tries one target after another until one accepts the connection. A target
  /// that does not is marked as down.
  asio::awaitable<CallReply> SendToAnyTarget(const PlannedCall& aCall)
  {
    CallReply reply{ CallResult::NotSent, "no gateway is up" };
    for (std::size_t i = 0; i < mOptions.mTargets.size(); ++i) {
      const auto gateway = mPicker.Next();
      if (!gateway) {
        break;
      }
      reply =
        co_await SendCall(mOptions.mTargets[*gateway], mOptions.mRoute, aCall);
      if (reply.mResult != CallResult::NotSent) {
        break;
      }
      mPicker.SetUp(*gateway, false);
    }
    co_return reply;
  }

  /// Counts the detail of a try that was not answered.
  void CountDetail(const CallReply& aReply)
  {
    if (aReply.mResult == CallResult::Answered) {
      return;
    }
    const std::string detail =
      std::string(NameOf(aReply.mResult)) + ": " + aReply.mDetail;
    if (mReport.mDetails.size() < kMaxDetails ||
        mReport.mDetails.contains(detail)) {
      ++mReport.mDetails[detail];
    }
  }

  /// Adds a call that has ended to the report.
  void RecordResult(const PlannedCall& aCall,
                    const OrderRecord& aRecord,
                    MonotonicTime aDue)
  {
    ++mReport.mResults[aRecord.mResult];
    if (aCall.mKind == CallKind::Order) {
      mReport.mOrders.push_back(aRecord);
    }
    const Micros latency = std::chrono::duration_cast<Micros>(
      std::chrono::steady_clock::now() - aDue);
    if (aRecord.mResult == CallResult::Answered &&
        aCall.mKind != CallKind::Watch) {
      mReport.mLatencies.push_back(latency);
    }
    if (aRecord.mResult == CallResult::Refused) {
      mReport.mLongestRefusal = std::max(mReport.mLongestRefusal, latency);
    }
  }

  const LoadOptions& mOptions;
  LoadPlan mPlan;
  GatewayPicker mPicker;
  LoadReport mReport;
  unsigned mInFlight = 0;
  bool mAllStarted = false; ///< All calls have been started.
  asio::io_context mContext{ 1 };
};

} // namespace

LoadReport
RunLoad(const LoadOptions& aOptions)
{
  return LoadGenerator(aOptions).Run();
}

Micros
QuantileOf(std::vector<Micros> aLatencies, double aQuantile)
{
  if (aLatencies.empty()) {
    return Micros(0);
  }
  const auto rank = static_cast<std::size_t>(
    std::ceil(aQuantile * static_cast<double>(aLatencies.size())));
  const std::size_t index =
    std::clamp<std::size_t>(rank, 1, aLatencies.size()) - 1;
  std::nth_element(aLatencies.begin(),
                   aLatencies.begin() + static_cast<std::ptrdiff_t>(index),
                   aLatencies.end());
  return aLatencies[index];
}

} // namespace paddle
