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

/// Reads the entries of kind runner from a hosts file: a list in the format of
/// hosts.list, or an object that holds the list as "hosts".
Outcome<std::vector<RunnerHost>>
ReadRunnerHosts(const std::string& aPath);

} // namespace paddle
