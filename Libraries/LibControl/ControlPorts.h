#pragma once

#include <chrono>
#include <functional>
#include <json/value.h>
#include <string>

#include <LibHttp/HttpMessage.h>
#include <LibTable/ObjectPort.h>
#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// Calls an RPC method of the scheduler process at an address.
using ProcessCaller =
  std::function<Outcome<Json::Value>(const Endpoint& aAddress,
                                     const std::string& aMethod,
                                     const Json::Value& aParameters)>;

/// The external services and clocks that the commands use; tests replace them.
struct ControlPorts
{
  TablePort mTable;
  ObjectPort mObjects;
  ProcessCaller mCall;
  std::function<std::chrono::system_clock::time_point()> mNow;
  std::function<MonotonicTime()> mMonotonicNow; ///< For deadlines.
  std::function<void(Millis)> mSleep;
};

/// Who makes a change and for which reason, for the audit trail.
struct Author
{
  std::string mWho;
  std::string mWhy;
};

} // namespace paddle
