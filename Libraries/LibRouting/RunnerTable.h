#pragma once

#include <LibRouting/RoutingState.h>

namespace paddle {

/// Sets what each runner of a service may take now from its list state,
/// health, and the shard's owner.
void
RefreshUsableSlots(RoutingState& aState,
                   ServiceState& aService,
                   MonotonicTime aNow);

/// RefreshUsableSlots() for all services.
void
RefreshAllUsableSlots(RoutingState& aState, MonotonicTime aNow);

/// Takes over the list of runners and the limits of a service.
void
UpdateRunners(RoutingState& aState, const ServiceListed& aEvent);

void
TakeSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind);

void
FreeSlot(RoutingState& aState, const RunnerRef& aRunner, RouteKind aKind);

/// Frees the held slots whose time has come.
void
ReleaseHolds(RoutingState& aState, MonotonicTime aNow);

} // namespace paddle
