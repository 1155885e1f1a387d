#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <LibDocument/DecisionRecord.h>
#include <LibGateway/Mailbox.h>
#include <LibRouting/RoutingActions.h>

namespace paddle {

/// One decision about one request, in the compact form that the deciding
/// threads pass on.
struct RequestRecord
{
  std::chrono::system_clock::time_point mTime;
  std::shared_ptr<const Mailbox> mRequest;
  Explanation mExplanation;
  /// Rule of a decision that was made outside the routing core; empty if the
  /// explanation names the rule.
  std::string mOtherRule;
};

/// @return the rule's name in records
const char*
NameOf(RoutingRule aRule);

/// @return the rule in plain words, for the caller
const char*
TextOf(RoutingRule aRule);

/// @return what would have led to another decision, as a sentence part
std::string
WhatWouldChange(const Explanation& aExplanation);

/// @param aMember the process that decided
DecisionRecord
ToDecisionRecord(const RequestRecord& aRecord, const std::string& aMember);

} // namespace paddle
