#include <LibNode/RunnerSlots.h>

#include <algorithm>

#include <LibNode/Cluster.h>

namespace paddle {

bool
CanRun(const dispatch::RunnerSpec& aRunner,
       const dispatch::StepSpec& aStep,
       const std::string& aService)
{
  const auto& labels = aRunner.mLabels;
  const dispatch::Resources& capacity = aRunner.mCapacity;
  return aRunner.mService == aService && !aRunner.mDraining &&
         (aStep.mRequiredLabel.empty() ||
          std::find(labels.begin(), labels.end(), aStep.mRequiredLabel) !=
            labels.end()) &&
         aStep.mDemand.mMilliCores <= capacity.mMilliCores &&
         aStep.mDemand.mMemoryMb <= capacity.mMemoryMb &&
         aStep.mDemand.mAccelerators <= capacity.mAccelerators;
}

std::uint64_t
Slots(const dispatch::RunnerSpec& aRunner,
      const dispatch::StepSpec& aStep,
      const std::string& aService)
{
  if (!CanRun(aRunner, aStep, aService)) {
    return 0;
  }
  std::int64_t slots =
    aStep.mMaxTasksPerRunner > 0 ? aStep.mMaxTasksPerRunner : INT64_MAX;
  const auto bound = [&](std::int64_t aCapacity, std::int64_t aDemand) {
    slots = aDemand > 0 ? std::min(slots, aCapacity / aDemand) : slots;
  };
  if (aStep.mReservation == dispatch::Reservation::Reserved) {
    bound(aRunner.mCapacity.mMilliCores, aStep.mDemand.mMilliCores);
  }
  bound(aRunner.mCapacity.mMemoryMb, aStep.mDemand.mMemoryMb);
  bound(aRunner.mCapacity.mAccelerators, aStep.mDemand.mAccelerators);
  return static_cast<std::uint64_t>(
    std::min<std::int64_t>(slots, aStep.mTaskCount));
}

std::vector<std::uint64_t>
SlotsByShard(std::span<const dispatch::RunnerSpec> aRunners,
             const dispatch::StepSpec& aStep,
             const std::string& aService,
             std::uint32_t aShards)
{
  std::vector<std::uint64_t> slots(aShards, 0);
  for (const dispatch::RunnerSpec& runner : aRunners) {
    slots[ShardOfRunner(runner.mId, aShards)] += Slots(runner, aStep, aService);
  }
  return slots;
}

} // namespace paddle
