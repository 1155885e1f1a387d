#pragma once

#include <map>
#include <string>

#include <LibControl/ControlPorts.h>
#include <StandIns/Platform/MemoryPorts.h>
#include <Support/FakeTable.h>

namespace paddle {

/// Ports for the commands: a table and an object store in memory, schedulers
/// whose answers the test sets, and a clock that moves only when a command
/// sleeps.
struct ControlFixture
{
  FakeTable mTable;
  MemoryObjects mObjects;
  /// Answers of the schedulers by address; others refuse the connection.
  std::map<Endpoint, Outcome<Json::Value>> mAnswers;
  std::vector<std::string> mCalls; ///< "method address", in order of the calls.
  Millis mSlept{ 0 };              ///< Time that the clock has advanced.

  ControlPorts Ports()
  {
    ControlPorts ports;
    ports.mTable = mTable.Port();
    ports.mObjects = MakeMemoryObjectPort(mObjects);
    ports.mCall = [this](const Endpoint& aAddress,
                         const std::string& aMethod,
                         const Json::Value&) -> Outcome<Json::Value> {
      mCalls.push_back(aMethod + " " + ToText(aAddress));
      const auto found = mAnswers.find(aAddress);
      if (found == mAnswers.end()) {
        return Error{ ErrorKind::Unavailable, "connection refused" };
      }
      return found->second;
    };
    ports.mNow = [this] {
      return std::chrono::system_clock::time_point(std::chrono::hours(1)) +
             mSlept;
    };
    ports.mMonotonicNow = [this] { return MonotonicTime() + mSlept; };
    ports.mSleep = [this](Millis aTime) { mSlept += aTime; };
    return ports;
  }

  /// Writes the session row of a scheduler.
  void AddScheduler(const std::string& aName,
                    const Endpoint& aAddress,
                    unsigned aRenewals = 1)
  {
    mTable.Put("session/" + aName,
               R"({"name": ")" + aName + R"(", "incarnation": "i-)" + aName +
                 R"(", "role": "scheduler", "dataCentre": "dc-1",)"
                 R"( "region": "r", "address": ")" +
                 ToText(aAddress) + R"(", "renewals": )" +
                 std::to_string(aRenewals) +
                 R"(, "successor": "", "successorIncarnation": "",)"
                 R"( "termMs": 3000, "foreignTakeoverWaitMs": 660000,)"
                 R"( "leaving": false})");
  }
};

/// @return a valid service document with a comment in it
inline std::string
ServiceText(const std::string& aService, const std::string& aTeam, int aSlots)
{
  return "{ // why\n  \"service\": \"" + aService + "\", \"team\": \"" + aTeam +
         "\",\n  \"slotsPerRunner\": " + std::to_string(aSlots) +
         ",\n  \"quota\": { \"cores\": 1, \"memoryMb\": 1 }\n}\n";
}

} // namespace paddle
