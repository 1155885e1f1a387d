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
  Worker,
  Runner
};

enum class HostState
{
  Live,
  Leaving
};

/// One entry of the platform's host list. The list lags behind reality.
struct HostEntry
{
  std::string mName;
  HostKind mKind = HostKind::Worker;
  HostState mState = HostState::Live;
  Endpoint mAddress;
  std::string mDataCentre;
  std::string mRegion;
  std::string mRack;
  std::string mService;            ///< Runners: the service they belong to.
  std::uint32_t mCores = 0;        ///< Workers: capacity.
  std::uint64_t mMemoryMb = 0;     ///< Workers: capacity.
  std::uint32_t mAccelerators = 0; ///< Workers: capacity.
};

/// Access to the platform's host list.
struct HostListPort
{
  std::function<Outcome<std::vector<HostEntry>>()> mList;
};

} // namespace paddle
