#pragma once

#include <LibRouting/RoutingState.h>

namespace paddle {

/// Sets the number of slots that each runner of a service may use now. It
/// depends on the host list, the runner's health, and the owner of its shard.
void
RefreshUsableSlots(RoutingState& aState,
                   ServiceState& aService,
                   MonotonicTime aNow);

/// Calls RefreshUsableSlots() for all services.
void
RefreshAllUsableSlots(RoutingState& aState, MonotonicTime aNow);

/// Replaces the runners and the limits of a service by those of the event.
void
UpdateRunners(RoutingState& aState, const ServiceListed& aEvent);

/// Marks one more slot of a runner as in use.
void
TakeSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind);

/// Marks one slot of a runner as free again.
void
ReleaseSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind);

/// Releases the held slots whose requests have certainly ended.
void
ReleaseExpiredHolds(RoutingState& aState, MonotonicTime aNow);

} // namespace paddle
