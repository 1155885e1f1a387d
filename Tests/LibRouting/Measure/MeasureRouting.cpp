// Measures the processor time that one request takes in the routing core: its
// arrival with the choice of a runner, and its end. The arguments are the name
// of the policy and the number of runners.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include <LibKernel/Registry.h>
#include <LibRouting/Routing.h>

using namespace paddle;

namespace {

constexpr std::uint64_t kRequests = 1000000;

/// @return the processor time of this thread in nanoseconds
double
ProcessorNanos()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

ServiceListed
MakeService(std::size_t aRunners)
{
  ServiceListed listed{ "desk", {}, {} };
  for (std::size_t i = 0; i < aRunners; ++i) {
    listed.mRunners.push_back(
      { "r" + std::to_string(i), "127.0.0.1", 1, "s", false });
  }
  return listed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string policy = aCount > 1 ? aArguments[1] : "least-outstanding";
  const std::size_t runners =
    aCount > 2 ? std::strtoul(aArguments[2], nullptr, 10) : 200;
  const auto found = Registry<RoutingPolicy>::Instance().Find(policy);
  if (!Succeeded(found)) {
    std::fprintf(stderr, "%s\n", ErrorOf(found).mMessage.c_str());
    return EXIT_FAILURE;
  }
  RoutingState state;
  state.mPolicy = ValueOf(found);
  RoutingActions actions;
  MonotonicTime now{ Seconds(1000) };
  Apply(state, MakeService(runners), now, actions);
  Apply(state,
        ShardAcquired{ "s", { 1, Acquisition::FirstOwner, now } },
        now,
        actions);
  // Half of the slots are in use, so that the runners have different loads.
  const std::uint64_t inFlight = runners * 4;
  std::uint64_t sent = 0;
  const double start = ProcessorNanos();
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    now += Micros(10);
    actions.clear();
    RequestArrived request;
    request.mNumber = i;
    request.mDeadline = now + Seconds(2);
    Apply(state, request, now, actions);
    sent += std::holds_alternative<SendToRunner>(actions.front()) ? 1 : 0;
    if (i > inFlight) {
      actions.clear();
      Apply(state, TryEnded{ i - inFlight, TryResult::Answered }, now, actions);
    }
  }
  const double nanos = (ProcessorNanos() - start) / kRequests;
  std::printf("policy=%s runners=%zu requests=%llu sent=%llu "
              "ns_per_request=%.0f\n",
              policy.c_str(),
              runners,
              static_cast<unsigned long long>(kRequests),
              static_cast<unsigned long long>(sent),
              nanos);
  return EXIT_SUCCESS;
}
