#pragma once

#include <LibRouting/RoutingActions.h>
#include <LibRouting/RoutingEvents.h>
#include <LibRouting/RoutingState.h>

namespace paddle {

// Each function takes one event and appends the actions that follow from it.
// They have no side effect outside the state.

void
Apply(RoutingState& aState,
      const RequestArrived& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const TryEnded& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const ProbeEnded& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const ServiceListed& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const ShardAcquired& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const ShardLost& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const PeerReported& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

void
Apply(RoutingState& aState,
      const Tick& aEvent,
      MonotonicTime aNow,
      RoutingActions& aActions);

} // namespace paddle
