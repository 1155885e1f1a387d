#pragma once

#include <string>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// A runner as a hosts file lists it.
struct RunnerHost
{
  std::string mName;
  std::string mService;
  Endpoint mAddress;
};

/// Reads the entries of kind runner from a hosts file, which has the format of
/// the answer of hosts.list.
/// @return the runners; an error if the file is invalid or lists no runner
Outcome<std::vector<RunnerHost>>
ReadRunnerHosts(const std::string& aPath);

} // namespace paddle
