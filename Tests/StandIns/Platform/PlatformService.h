#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include <LibHttp/HttpServer.h>
#include <StandIns/Platform/MemoryHosts.h>
#include <StandIns/Platform/MemoryObjects.h>
#include <StandIns/Platform/MemoryTable.h>
#include <StandIns/Platform/PlatformFaults.h>

namespace paddle {

/// Table service, object store and host list of a stand-in platform.
struct Platform
{
  Platform(std::vector<HostEntry> aHosts, Millis aHostLag)
    : mHosts(std::move(aHosts), aHostLag)
  {
  }

  MemoryTable mTable;
  MemoryObjects mObjects;
  MemoryHosts mHosts;
  PlatformFaults mFaults;
  std::atomic<std::uint64_t> mBytesIn{ 0 };
  std::atomic<std::uint64_t> mBytesOut{ 0 };
  MonotonicTime mStarted = std::chrono::steady_clock::now();
};

/// @return a handler that serves the platform's methods and those for faults
///         and statistics over JSON-RPC
/// @param aPlatform must outlive the handler
HttpHandler
MakePlatformHandler(Platform& aPlatform);

} // namespace paddle
