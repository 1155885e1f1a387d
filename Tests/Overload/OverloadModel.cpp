#include "OverloadModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include <LibDispatch/OrderLimit.h>

namespace paddle::dispatch {

namespace {

constexpr double kRoundTripMs = 5;
constexpr double kRunMs = 800;
constexpr double kOrderTimeoutMs = 900;
constexpr double kRenewalMarginMs = 700;
constexpr double kTickMs = 25;
constexpr double kLongPollMs = 900;
constexpr double kLongestPollMs = 1900;
/// Starts without an answer that one runner may have, as in DispatchSettings.
constexpr double kStartsPerRunner = 12;

/// The gradient limit, see LoadControl::Gradient.
struct GradientLimit
{
  double mLimit = 256;
  double mShortestMs = std::numeric_limits<double>::max();

  void Observe(double aMs, double aUnderWay)
  {
    mShortestMs = std::min(mShortestMs, aMs);
    const double gradient = std::clamp(2 * mShortestMs / aMs, 0.5, 1.0);
    const double next = mLimit * gradient + std::sqrt(mLimit);
    if (aUnderWay * 2 > mLimit || next < mLimit) {
      mLimit = std::clamp(0.8 * mLimit + 0.2 * next, 4.0, 512.0);
    }
  }
};

class Model
{
public:
  explicit Model(const OverloadSettings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
  {
  }

  OverloadResult Run()
  {
    const double loadedMs = mSettings.mLoadedS * 1000;
    mEndMs = loadedMs + mSettings.mCalmS * 1000;
    mMeasureFromMs = loadedMs / 3;
    mMeasureToMs = loadedMs;
    At(0, [this] { Arrive(); });
    At(0, [this] { ScheduleTick(); });
    for (std::uint32_t i = 0; i < mSettings.mRunners; ++i) {
      At(kLongPollMs * i / mSettings.mRunners, [this] { Renew(); });
    }
    while (!mEvents.empty() && mEvents.begin()->first < mEndMs) {
      const auto event = mEvents.begin();
      mNowMs = event->first;
      const std::function<void()> handle = std::move(event->second);
      mEvents.erase(event);
      handle();
    }
    const double seconds = (mMeasureToMs - mMeasureFromMs) / 1000;
    OverloadResult result;
    result.mGoodputPerS = mDone / seconds;
    result.mUnansweredPerS = mUnanswered / seconds;
    result.mDoubledRuns = mDoubled;
    result.mRecoveryS = std::min(
      mSettings.mCalmS, std::max(0.0, (mLastTroubleMs - loadedMs) / 1000));
    if (mLastTroubleMs > mEndMs - 1000) {
      result.mRecoveryS = mSettings.mCalmS;
    }
    return result;
  }

private:
  struct Task
  {
    bool mDone = false;
    std::uint64_t mAttempt = 0;
    bool mStarting = false;
    double mSentMs = 0;
  };

  void At(double aMs, std::function<void()> aHandle)
  {
    mEvents.emplace(aMs, std::move(aHandle));
  }

  /// Has the host's processor handle a message that arrives now.
  void Process(std::function<void()> aHandle)
  {
    mBusyUntilMs = std::max(mBusyUntilMs, mNowMs) + mSettings.mMessageMs;
    At(mBusyUntilMs, std::move(aHandle));
  }

  void Arrive()
  {
    const bool loaded = mNowMs < mMeasureToMs;
    const double rate = loaded ? mSettings.mOfferedPerS : mSettings.mCalmPerS;
    At(mNowMs + std::exponential_distribution<double>(rate / 1000)(mRandom),
       [this] { Arrive(); });
    if (!loaded && !mCalm) {
      mCalm = true;
      mWaiting.clear(); // Their clients have given up.
    }
    mTasks.emplace_back();
    mWaiting.push_back(mTasks.size() - 1);
    Place();
  }

  void ScheduleTick()
  {
    const double planned = mNowMs + kTickMs;
    At(planned, [this, planned] {
      Process([this, planned] {
        ObserveLag(mLimit, Millis(static_cast<long>(mNowMs - planned)));
        ExpireStarts();
        Place();
        ScheduleTick();
      });
    });
  }

  [[nodiscard]] double Limit() const
  {
    switch (mSettings.mControl) {
      case LoadControl::Aimd:
        return mLimit.mLimit;
      case LoadControl::Gradient:
        return mGradient.mLimit;
      default:
        return kStartsPerRunner * mSettings.mRunners;
    }
  }

  void Place()
  {
    UpdateOrderLimit(mLimit,
                     static_cast<std::uint32_t>(mStarting.size()),
                     MonotonicTime(std::chrono::microseconds(
                       static_cast<long>(mNowMs * 1000) + 1000000)));
    while (!mWaiting.empty() &&
           static_cast<double>(mStarting.size()) < Limit()) {
      const std::size_t index = mWaiting.front();
      mWaiting.pop_front();
      Start(index);
    }
    mLimit.mReached = mLimit.mReached || !mWaiting.empty();
  }

  void Start(std::size_t aIndex)
  {
    Task& task = mTasks[aIndex];
    const std::uint64_t attempt = ++task.mAttempt;
    task.mStarting = true;
    task.mSentMs = mNowMs;
    mStarting.insert(aIndex);
    Process([this, aIndex, attempt] {
      const double arrivesMs = mNowMs + kRoundTripMs;
      At(arrivesMs, [this, aIndex, attempt, arrivesMs] {
        Process([this, aIndex, attempt, arrivesMs] {
          HandleAnswer(aIndex, attempt, arrivesMs);
        });
      });
      At(mNowMs + kRunMs, [this, aIndex, attempt] {
        Process([this, aIndex, attempt] { HandleEnd(aIndex, attempt); });
      });
    });
  }

  void HandleAnswer(std::size_t aIndex, std::uint64_t aAttempt, double aAtMs)
  {
    Task& task = mTasks[aIndex];
    if (!task.mStarting || task.mAttempt != aAttempt) {
      return; // Given up before.
    }
    const bool late = mNowMs - task.mSentMs > kOrderTimeoutMs;
    const bool arrivedInTime = aAtMs - task.mSentMs <= kOrderTimeoutMs;
    if (late && (mSettings.mControl == LoadControl::None || !arrivedInTime)) {
      GiveUp(aIndex);
      return;
    }
    task.mStarting = false;
    mStarting.erase(aIndex);
    ObserveAnswer(mLimit, Millis(static_cast<long>(mNowMs - task.mSentMs)));
    mGradient.Observe(mNowMs - task.mSentMs,
                      static_cast<double>(mStarting.size()) + 1);
    Place();
  }

  /// Gives up the starts without an answer whose time is over.
  void ExpireStarts()
  {
    if (mSettings.mControl != LoadControl::None) {
      return; // HandleAnswer() tells whether the answer arrived in time.
    }
    const std::vector<std::size_t> starting(mStarting.begin(), mStarting.end());
    for (const std::size_t index : starting) {
      if (mNowMs - mTasks[index].mSentMs > kOrderTimeoutMs) {
        GiveUp(index);
      }
    }
  }

  /// Stops an unanswered run, and starts the task again after that.
  void GiveUp(std::size_t aIndex)
  {
    Task& task = mTasks[aIndex];
    task.mStarting = false;
    mStarting.erase(aIndex);
    ++task.mAttempt; // The end of the stopped run doesn't count.
    NoteTrouble();
    mUnanswered += Measured() ? 1 : 0;
    // The stop, a new connection, the stop's answer and the report.
    for (int i = 0; i < 3; ++i) {
      Process([] {});
    }
    Process([this, aIndex] { mWaiting.push_back(aIndex); });
  }

  void HandleEnd(std::size_t aIndex, std::uint64_t aAttempt)
  {
    Task& task = mTasks[aIndex];
    if (task.mAttempt != aAttempt) {
      return;
    }
    if (task.mStarting) {
      task.mStarting = false; // The report shows the run before its answer.
      mStarting.erase(aIndex);
    }
    mDoubled += task.mDone ? 1 : 0;
    task.mDone = true;
    mDone += Measured() ? 1 : 0;
    Place();
  }

  void Renew()
  {
    const double pollMs =
      mSettings.mControl == LoadControl::Aimd
        ? std::min(kLongestPollMs, kLongPollMs * mLimit.mPollStretch)
        : kLongPollMs;
    const double sentMs = mNowMs;
    Process([this, pollMs, sentMs] {
      At(mNowMs + pollMs, [this, pollMs, sentMs] {
        Process([this, pollMs, sentMs] {
          if (mNowMs - sentMs > pollMs + kRenewalMarginMs) {
            NoteTrouble();
            if (mSettings.mControl == LoadControl::None) {
              Process([] {}); // A new connection.
            }
          }
          Renew();
        });
      });
    });
  }

  [[nodiscard]] bool Measured() const
  {
    return mNowMs >= mMeasureFromMs && mNowMs < mMeasureToMs;
  }

  void NoteTrouble() { mLastTroubleMs = mNowMs; }

  OverloadSettings mSettings;
  std::mt19937 mRandom;
  std::multimap<double, std::function<void()>> mEvents;
  double mNowMs = 0;
  double mEndMs = 0;
  double mBusyUntilMs = 0; ///< When the processor has handled its messages.
  double mMeasureFromMs = 0;
  double mMeasureToMs = 0;
  bool mCalm = false;
  std::vector<Task> mTasks;
  std::deque<std::size_t> mWaiting;
  std::set<std::size_t> mStarting;
  OrderLimit mLimit;
  GradientLimit mGradient;
  double mDone = 0;
  double mUnanswered = 0;
  std::uint32_t mDoubled = 0;
  double mLastTroubleMs = 0;
};

} // namespace

OverloadResult
SimulateOverload(const OverloadSettings& aSettings)
{
  return Model(aSettings).Run();
}

} // namespace paddle::dispatch
