#pragma once

#include <LibRouting/RoutingActions.h>
#include <LibRouting/RoutingEvents.h>
#include <LibRouting/RoutingState.h>

namespace paddle {

// The routing core assigns requests to runner slots. Each function applies one
// event to the state and appends the actions that the caller must carry out.
// The functions change nothing but the state and the list of actions.

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
