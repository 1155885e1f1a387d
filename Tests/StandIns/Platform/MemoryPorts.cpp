#include <StandIns/Platform/MemoryPorts.h>

#include <optional>
#include <thread>

namespace paddle {

namespace {

/// Waits for the injected delay.
/// @return the error with which the request fails, or nothing if it is served
std::optional<Error>
ApplyFaults(const PlatformFaults& aFaults, const std::string& aMember)
{
  const Millis delay = aFaults.Delay();
  if (delay > Millis(0)) {
    std::this_thread::sleep_for(delay);
  }
  if (!aFaults.Outage() &&
      aFaults.HandlingInPartition(aMember) == RequestHandling::Serve) {
    return std::nullopt;
  }
  return Error{ ErrorKind::Unavailable, "the table service is unavailable" };
}

} // namespace

TablePort
MakeMemoryTablePort(MemoryTable& aTable)
{
  TablePort port;
  port.mRead = [&aTable](std::span<const std::string> aKeys) {
    return aTable.Read(aKeys);
  };
  port.mScan = [&aTable](std::string_view aPrefix) {
    return aTable.Scan(aPrefix);
  };
  port.mTransact = [&aTable](const TableTransaction& aTransaction) {
    return aTable.Transact(aTransaction);
  };
  return port;
}

TablePort
MakeMemoryTablePort(MemoryTable& aTable,
                    PlatformFaults& aFaults,
                    const std::string& aMember)
{
  using Rows = Outcome<std::vector<TableRow>>;
  TablePort port;
  port.mRead =
    [&aTable, &aFaults, aMember](std::span<const std::string> aKeys) -> Rows {
    if (auto failure = ApplyFaults(aFaults, aMember)) {
      return *failure;
    }
    return aTable.Read(aKeys);
  };
  port.mScan = [&aTable, &aFaults, aMember](std::string_view aPrefix) -> Rows {
    if (auto failure = ApplyFaults(aFaults, aMember)) {
      return *failure;
    }
    return aTable.Scan(aPrefix);
  };
  port.mTransact = [&aTable, &aFaults, aMember](
                     const TableTransaction& aTransaction) -> TransactResult {
    if (auto failure = ApplyFaults(aFaults, aMember)) {
      return *failure;
    }
    TransactResult result = aTable.Transact(aTransaction);
    if (std::holds_alternative<Committed>(result) &&
        aFaults.ConsumeLostAnswer()) {
      return Error{ ErrorKind::Unknown, "the answer was lost" };
    }
    return result;
  };
  return port;
}

ObjectPort
MakeMemoryObjectPort(MemoryObjects& aObjects)
{
  ObjectPort port;
  port.mStore = [&aObjects](std::string_view aName,
                            std::string_view aBody) -> Outcome<Done> {
    aObjects.Store(aName, aBody);
    return Done{};
  };
  port.mRead = [&aObjects](std::string_view aName) {
    return aObjects.Read(aName);
  };
  port.mList = [&aObjects](std::string_view aPrefix) {
    return aObjects.List(aPrefix);
  };
  return port;
}

HostListPort
MakeMemoryHostListPort(MemoryHosts& aHosts)
{
  HostListPort port;
  port.mList = [&aHosts]() {
    return aHosts.List(std::chrono::steady_clock::now());
  };
  return port;
}

} // namespace paddle
