#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

enum class RouteKind
{
  Short,
  Watch ///< Held open by the runner for up to minutes.
};

enum class Idempotent
{
  No,
  Yes
};

/// How requests whose path starts with a prefix are treated.
struct Route
{
  std::string mPrefix;
  RouteKind mKind = RouteKind::Short;
  Idempotent mIdempotent = Idempotent::No;
  Millis mDeadline{ 2000 }; ///< Used if the caller gives none; also the most.
};

/// Resources of a task, a worker or a quota.
struct Resources
{
  double mCores = 0;
  std::uint64_t mMemoryMb = 0;
  std::uint32_t mAccelerators = 0;

  bool operator==(const Resources&) const = default;
};

/// Long-running tasks of a latency-critical service.
struct ServiceTasks
{
  std::string mName;
  std::uint32_t mCount = 0;
  Resources mSize;
};

/// The document of one service, owned by its team.
struct ServiceDocument
{
  std::string mService;
  std::string mTeam;
  std::uint64_t mVersion = 0; ///< Set by the acceptance, not by the author.
  std::uint32_t mSlotsPerRunner = 8;
  std::uint32_t mConnectionsPerRunner = 64;
  std::uint32_t mWatchSlotsPerRunner = 2;
  Millis mLongestWatch{ 120000 };
  /// The longest that a runner may work on a short request, counted from its
  /// send. A request without an answer takes its slot that long.
  Millis mLongestRun{ 4000 };
  std::string mHealthPath = "/health";
  std::vector<Route> mRoutes;
  Resources mQuota;
  std::uint32_t mEvictionsPerHour = 60;
  std::vector<ServiceTasks> mTasks;
};

/// Parses and checks a service document as a whole.
/// @param aFile name used in errors
/// @return the document, or all problems, one per line, each with file, line,
///         column, field and what is allowed
Outcome<ServiceDocument>
ParseServiceDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
