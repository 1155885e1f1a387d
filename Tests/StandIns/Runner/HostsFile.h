#pragma once

#include <string>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// A runner as named by a hosts file.
struct RunnerHost
{
  std::string mName;
  std::string mService;
  Endpoint mAddress;
};

/// Reads the entries of kind runner from a hosts file, which has the format of
/// the answer of hosts.list.
Outcome<std::vector<RunnerHost>>
ReadRunnerHosts(const std::string& aPath);

} // namespace paddle
