#include <LibScheduler/SchedulerPorts.h>

namespace paddle {

LeasePort
MakeLeasePort(LeaseKeeper& aKeeper)
{
  return { [&aKeeper](std::vector<ShardSpec> aShards) {
            aKeeper.SetShards(std::move(aShards));
          },
           [&aKeeper](std::string_view aShard) { return aKeeper.Owns(aShard); },
           [&aKeeper](std::string_view aShard) {
             return aKeeper.OwnerOf(aShard);
           },
           [&aKeeper] { return aKeeper.Members("scheduler"); } };
}

ConfigPort
MakeConfigPort(const ConfigFollower& aFollower)
{
  return { [&aFollower] { return aFollower.Current(); },
           [&aFollower] { return aFollower.Age(); } };
}

} // namespace paddle
