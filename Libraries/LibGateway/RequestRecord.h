#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <LibDocument/DecisionRecord.h>
#include <LibGateway/Mailbox.h>
#include <LibRouting/RoutingActions.h>

namespace paddle {

/// One decision about one request, as the deciding threads pass it to the
/// RecordWriter. ToDecisionRecord() makes the record that is stored from it.
struct RequestRecord
{
  std::chrono::system_clock::time_point mTime;
  std::shared_ptr<const Mailbox> mRequest; ///< Its label names the request.
  Explanation mExplanation;
  /// Name of the rule if the decision was made outside LibRouting; empty if
  /// mExplanation contains the rule.
  std::string mNonRoutingRule;
};

/// @return the name of a rule in decision records
const char*
NameOf(RoutingRule aRule);

/// @return a rule in plain words, for the caller
const char*
TextOf(RoutingRule aRule);

/// @return what would have led to another decision, as a phrase that completes
///         a sentence
std::string
WhatWouldChange(const Explanation& aExplanation);

/// @param aMember name of the member that made the decision
/// @return the record as it is stored
DecisionRecord
ToDecisionRecord(const RequestRecord& aRecord, const std::string& aMember);

} // namespace paddle
