// Counts the writes and reads per second that the sessions and shards of a
// number of processes cause at the table service. It simulates them in virtual
// time.

#include <cstdio>
#include <string>

#include <LibLease/LeaseSimulation.h>

using namespace paddle;

namespace {

constexpr int kProcessCounts[] = { 4, 8, 16, 32, 64, 128, 256 };
constexpr Seconds kSettleTime{ 60 };
constexpr Seconds kMeasuredTime{ 60 };

void
Measure(int aProcesses)
{
  LeaseSimulation simulation(LeaseSimulationSettings{});
  for (int i = 0; i < aProcesses; ++i) {
    simulation.Start("m" + std::to_string(i), "dc-" + std::to_string(i % 3));
  }
  simulation.RunFor(kSettleTime);
  const TableCounters before = simulation.Counters();
  simulation.RunFor(kMeasuredTime);
  const TableCounters after = simulation.Counters();
  const auto perSecond = [](std::uint64_t aBefore, std::uint64_t aAfter) {
    return static_cast<double>(aAfter - aBefore) /
           static_cast<double>(kMeasuredTime.count());
  };
  std::printf("processes=%d writes_per_s=%.1f reads_per_s=%.1f "
              "rows_read_per_s=%.1f\n",
              aProcesses,
              perSecond(before.mWrites, after.mWrites),
              perSecond(before.mReads, after.mReads),
              perSecond(before.mRowsRead, after.mRowsRead));
}

} // namespace

int
main()
{
  for (const int processes : kProcessCounts) {
    Measure(processes);
  }
  return 0;
}
