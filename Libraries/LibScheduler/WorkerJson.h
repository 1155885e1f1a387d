#pragma once

#include <cstdint>
#include <json/value.h>
#include <utility>
#include <vector>

#include <LibPlacement/Action.h>
#include <LibPlacement/Report.h>
#include <LibPlacement/Shard.h>

namespace paddle {

// Conversions of the parameters and results of the RPC methods worker.report,
// worker.start, worker.stop, worker.checkpoint and worker.throttle.

Json::Value
ToJson(const ResourceVector& aResources);

ResourceVector
ResourceVectorFromJson(const Json::Value& aResources);

/// @param aLease the lease term of the tasks that are renewed
/// @return parameters of worker.report
Json::Value
ReportParameters(std::uint64_t aEpoch, Millis aLease, const PollPlan& aPlan);

/// Converts the result of worker.report. It throws Json::Exception if a member
/// has the wrong type.
WorkerReport
ReportFromJson(const Json::Value& aReport);

/// @param aLease the lease term of the tasks that are started
/// @return parameters of worker.start
Json::Value
StartParameters(std::uint64_t aEpoch,
                Millis aLease,
                const std::vector<StartTask>& aStarts);

/// Converts the result of worker.start.
/// @param aCount the number of starts that were sent
/// @return one answer per start; StartUnknown where an answer is missing or
///         malformed
std::vector<StartAnswer>
StartAnswersFromJson(const Json::Value& aResult, std::size_t aCount);

/// Pairs of a job and the number of one of its attempts.
using TaskAttempts = std::vector<std::pair<std::string, std::uint32_t>>;

/// @return parameters of worker.stop and worker.checkpoint, and those of
///         worker.throttle except "throttled"
Json::Value
TaskParameters(std::uint64_t aEpoch, const TaskAttempts& aTasks);

} // namespace paddle
