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
constexpr std::size_t kMostDetails = 20;

/// Whether the request may have been run although no answer came.
bool
IsDoubtful(CallResult aResult)
{
  return aResult == CallResult::Unknown || aResult == CallResult::Broken ||
         aResult == CallResult::TimedOut || aResult == CallResult::Wrong;
}

class Load
{
public:
  explicit Load(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mPlan(aOptions.mPlan)
    , mPicker(aOptions.mTargets)
  {
  }

  LoadReport Run()
  {
    for (std::size_t i = 0; i < mOptions.mTargets.size(); ++i) {
      asio::co_spawn(mContext, WatchHealth(i), asio::detached);
    }
    asio::co_spawn(mContext, Start(), asio::detached);
    mContext.run();
    return std::move(mReport);
  }

private:
  asio::awaitable<void> Sleep(MonotonicTime aUntil)
  {
    asio::steady_timer timer(mContext, aUntil);
    co_await timer.async_wait(use_awaitable);
  }

  [[nodiscard]] bool Ended() const { return mPlanned && mInFlight == 0; }

  asio::awaitable<void> WatchHealth(std::size_t aGateway)
  {
    while (!Ended()) {
      const bool up =
        mOptions.mDirect || co_await CheckHealth(mOptions.mTargets[aGateway]);
      mPicker.SetUp(aGateway, up);
      co_await Sleep(std::chrono::steady_clock::now() + kHealthInterval);
    }
  }

  /// Starts each call at its planned time, whatever became of earlier ones.
  asio::awaitable<void> Start()
  {
    MonotonicTime due = std::chrono::steady_clock::now();
    const MonotonicTime end =
      due + Micros(static_cast<Micros::rep>(mOptions.mSeconds * 1e6));
    for (due += mPlan.NextGap(); due < end; due += mPlan.NextGap()) {
      co_await Sleep(due);
      ++mReport.mPlanned;
      PlannedCall call = mPlan.NextCall();
      if (mInFlight >= mOptions.mConcurrency) {
        ++mReport.mSkipped;
        continue;
      }
      ++mInFlight;
      asio::co_spawn(mContext, Call(std::move(call), due), asio::detached);
    }
    mPlanned = true;
  }

  asio::awaitable<void> Call(PlannedCall aCall, MonotonicTime aDue)
  {
    OrderRecord record{ aCall.mKey, CallResult::NotSent, false };
    for (unsigned tries = 0;; ++tries) {
      const CallReply reply = co_await Try(aCall);
      record.mResult = reply.mResult;
      NoteDetail(reply);
      if (!IsDoubtful(reply.mResult)) {
        break;
      }
      record.mDoubtful = true;
      if (tries == mOptions.mRetries) {
        break;
      }
      ++mReport.mRetried;
      co_await Sleep(std::chrono::steady_clock::now() + kRetryBackoff);
    }
    Note(aCall, record, aDue);
    --mInFlight;
  }

  /// Tries gateways until one accepts the connection.
  asio::awaitable<CallReply> Try(const PlannedCall& aCall)
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

  void NoteDetail(const CallReply& aReply)
  {
    if (aReply.mResult == CallResult::Answered) {
      return;
    }
    const std::string detail =
      std::string(NameOf(aReply.mResult)) + ": " + aReply.mDetail;
    if (mReport.mDetails.size() < kMostDetails ||
        mReport.mDetails.contains(detail)) {
      ++mReport.mDetails[detail];
    }
  }

  void Note(const PlannedCall& aCall,
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
  bool mPlanned = false; ///< All calls have been started.
  asio::io_context mContext{ 1 };
};

} // namespace

LoadReport
RunLoad(const LoadOptions& aOptions)
{
  return Load(aOptions).Run();
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
