#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <LibHttp/HttpMessage.h>
#include <LibTime/Outcome.h>

namespace paddle {

enum class HostKind
{
  Worker, ///< A host that runs tasks.
  Runner  ///< An endpoint process that serves the requests of a service.
};

enum class HostState
{
  Live,   ///< In service.
  Leaving ///< About to be taken out of service.
};

/// One entry of the platform's host list. The list may be out of date: a change
/// of a host appears in it with a delay.
struct HostEntry
{
  std::string mName;
  HostKind mKind = HostKind::Worker;
  HostState mState = HostState::Live;
  Endpoint mAddress;
  std::string mDataCentre;
  std::string mRegion;
  std::string mRack;
  std::string mService;            ///< Only of runners: the service served.
  std::uint32_t mCores = 0;        ///< Only of workers: total cores.
  std::uint64_t mMemoryMb = 0;     ///< Only of workers: total memory.
  std::uint32_t mAccelerators = 0; ///< Only of workers: total number.
};

/// Interface to the platform's host list.
struct HostListPort
{
  /// Returns all entries of the list.
  std::function<Outcome<std::vector<HostEntry>>()> mList;
};

} // namespace paddle
