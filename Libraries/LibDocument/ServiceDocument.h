#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>
#include <LibTime/Time.h>

namespace paddle {

/// How long requests of a route take.
enum class RouteKind
{
  Short, ///< Answered within the deadline of the route.
  Watch  ///< Held open by the runner for up to minutes.
};

/// Whether a request may safely run more than once, so that it can be retried.
enum class Idempotent
{
  No,
  Yes
};

/// How requests are handled whose path starts with the prefix.
struct Route
{
  std::string mPrefix;
  RouteKind mKind = RouteKind::Short;
  Idempotent mIdempotent = Idempotent::No;
  /// Deadline of a short request whose caller gives none, and the upper limit
  /// of the deadlines that callers give. Watches use mLongestWatch instead.
  Millis mDeadline{ 2000 };
};

/// Resources of a task, a worker or a quota.
struct Resources
{
  double mCores = 0;
  std::uint64_t mMemoryMb = 0;
  std::uint32_t mAccelerators = 0;

  bool operator==(const Resources&) const = default;
};

/// A group of equal, long-running tasks of a latency-critical service.
struct ServiceTaskGroup
{
  std::string mName;        ///< Unique within the service.
  std::uint32_t mCount = 0; ///< Number of tasks in the group.
  Resources mSize;          ///< Of each task.
};

/// The configuration of one latency-critical service, owned by its team.
struct ServiceDocument
{
  std::string mService;
  std::string mTeam;
  std::uint64_t mVersion = 0; ///< Set when the document is accepted.
  /// Maximum number of requests that a runner works on at a time.
  std::uint32_t mSlotsPerRunner = 8;
  /// Maximum number of connections to a runner; each request uses one.
  std::uint32_t mConnectionsPerRunner = 64;
  /// Maximum number of slots of a runner that watches may hold.
  std::uint32_t mWatchSlotsPerRunner = 2;
  Millis mLongestWatch{ 120000 }; ///< Maximum time that a watch is held open.
  /// Maximum time that a runner works on a short request, counted from when the
  /// request was sent. A request without an answer holds its slot for this
  /// time.
  Millis mLongestRun{ 4000 };
  std::string mHealthPath = "/health"; ///< Path of health checks at runners.
  std::vector<Route> mRoutes;
  Resources mQuota;
  /// Maximum number of tasks of the team that are evicted per hour.
  std::uint32_t mEvictionsPerHour = 60;
  std::vector<ServiceTaskGroup> mTasks;
};

/// Parses and validates a service document as a whole.
/// @param aFile name used in errors
/// @return the document, or all problems, one per line, each with file, line,
///         column, field and what is allowed
Outcome<ServiceDocument>
ParseServiceDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
