#pragma once

#include <cstdint>
#include <json/value.h>
#include <utility>
#include <vector>

#include <LibPlacement/Action.h>
#include <LibPlacement/Report.h>
#include <LibPlacement/Shard.h>

namespace paddle {

// Parameters and results of worker.report, worker.start, worker.stop,
// worker.checkpoint and worker.throttle.

Json::Value
ToJson(const ResourceVector& aAmount);

ResourceVector
AmountFromJson(const Json::Value& aAmount);

/// @return parameters of worker.report
Json::Value
ReportParameters(std::uint64_t aEpoch, Millis aLease, const PollPlan& aPlan);

/// @return the report; throws Json::Exception if a member has another type
WorkerReport
ReportFromJson(const Json::Value& aReport);

/// @return parameters of worker.start
Json::Value
StartParameters(std::uint64_t aEpoch,
                Millis aLease,
                const std::vector<StartTask>& aStarts);

/// @return the answers to worker.start, one per start; StartUnknown where an
///         answer is missing or malformed
std::vector<StartAnswer>
StartAnswersFromJson(const Json::Value& aResult, std::size_t aCount);

using TaskNames = std::vector<std::pair<std::string, std::uint32_t>>;

/// @return parameters of worker.stop and worker.checkpoint
Json::Value
TaskParameters(std::uint64_t aEpoch, const TaskNames& aTasks);

} // namespace paddle
