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

/// State of a platform stand-in: table service, object store, host list and the
/// injected faults.
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
  /// Bytes of the request bodies and answer bodies, requests of partitioned
  /// members excluded.
  std::atomic<std::uint64_t> mBytesIn{ 0 };
  std::atomic<std::uint64_t> mBytesOut{ 0 };
  MonotonicTime mStarted = std::chrono::steady_clock::now();
};

/// @param aPlatform must outlive the handler
/// @return a handler that serves the platform's methods, standin.fault and
///         standin.stats over JSON-RPC
HttpHandler
MakePlatformHandler(Platform& aPlatform);

} // namespace paddle
