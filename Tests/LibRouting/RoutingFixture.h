#pragma once

#include <string>
#include <variant>
#include <vector>

#include <LibKernel/Registry.h>
#include <LibRouting/Routing.h>

#include <CppUTest/TestHarness.h>

namespace paddle {

/// A routing state with one service. The test applies each event and sets the
/// time.
struct RoutingFixture
{
  RoutingState mState;
  RoutingActions mActions;
  MonotonicTime mNow{ Seconds(1000) };
  RequestNumber mLastNumber = 0;

  explicit RoutingFixture(std::size_t aRunners = 1,
                          std::string_view aPolicy = "least-outstanding")
  {
    mState.mPolicy = ValueOf(Registry<RoutingPolicy>::Instance().Find(aPolicy));
    ApplyEvent(MakeService(aRunners));
    ApplyEvent(ShardAcquired{ "s", { 1, Acquisition::FirstOwner, mNow } });
  }

  static ServiceListed MakeService(std::size_t aRunners)
  {
    ServiceListed listed{ "desk", {}, {} };
    for (std::size_t i = 0; i < aRunners; ++i) {
      listed.mRunners.push_back(
        { "r" + std::to_string(i), "127.0.0.1", 1, "s", false });
    }
    return listed;
  }

  /// Applies an event; mActions then holds only the actions of this event.
  template<typename E>
  void ApplyEvent(const E& aEvent)
  {
    mActions.clear();
    Apply(mState, aEvent, mNow, mActions);
  }

  /// Lets a request arrive.
  /// @return its number
  RequestNumber Arrive(Idempotent aIdempotent = Idempotent::No,
                       RouteKind aKind = RouteKind::Short,
                       Millis aDeadline = Millis(2000))
  {
    RequestArrived request;
    request.mNumber = ++mLastNumber;
    request.mKind = aKind;
    request.mIdempotent = aIdempotent;
    request.mDeadline = mNow + aDeadline;
    ApplyEvent(request);
    return mLastNumber;
  }

  /// @return the last action of a type, or null
  template<typename A>
  const A* FindAction() const
  {
    const A* found = nullptr;
    for (const RoutingAction& action : mActions) {
      if (const A* match = std::get_if<A>(&action)) {
        found = match;
      }
    }
    return found;
  }

  /// @return whether the last event refused a request by this rule
  [[nodiscard]] bool WasRefusedBy(RoutingRule aRule) const
  {
    const auto* end = FindAction<EndWithoutAnswer>();
    return end && end->mExplanation.mKind == DecisionKind::Refuse &&
           end->mExplanation.mRule == aRule;
  }

  const RunnerLoad& LoadOf(std::size_t aRunner = 0) const
  {
    return mState.mServices[0].mLoads[aRunner];
  }
};

} // namespace paddle
